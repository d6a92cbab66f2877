package org.siskinramp.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Holds a log event: its name and an ordered list of keys and values.
 *
 * <pre>{@code
 * eventLog.record(LogEvent.named("route").with("request", key).with("backend_server", name));
 * }</pre>
 */
public final class LogEvent {

    private final String name;
    private final List<Field> fields = new ArrayList<>();

    private LogEvent(String name) {
        this.name = Objects.requireNonNull(name, "name");
    }

    /**
     * Creates an event.
     *
     * @param name the event's name, in lower case with underscores
     * @return the event without fields
     */
    public static LogEvent named(String name) {
        return new LogEvent(name);
    }

    /**
     * Adds a field.
     *
     * @param key the key, in lower case with underscores
     * @param value the value, which is written as {@link String#valueOf(Object)}
     * @return this event
     */
    public LogEvent with(String key, Object value) {
        fields.add(new Field(key, value));
        return this;
    }

    /**
     * Returns the event's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the event as one line of key=value pairs. Values that are empty or contain spaces,
     * quotes, equals signs, control characters or non-ASCII characters are quoted.
     *
     * @return the line, without a line break
     */
    public String toLine() {
        StringBuilder line = new StringBuilder("event=").append(name);
        for (Field field : fields) {
            line.append(' ').append(field.key).append('=').append(quoted(field.value));
        }
        return line.toString();
    }

    private static String quoted(Object value) {
        String text = String.valueOf(value);
        if (!text.isEmpty() && text.chars().allMatch(LogEvent::isPlain)) {
            return text;
        }
        StringBuilder quoted = new StringBuilder("\"");
        text.chars().forEach(character -> appendQuoted(quoted, (char) character));
        return quoted.append('"').toString();
    }

    private static void appendQuoted(StringBuilder quoted, char character) {
        if (character == '"' || character == '\\') {
            quoted.append('\\').append(character);
        } else if (Character.isISOControl(character)) {
            quoted.append(' ');
        } else {
            quoted.append(character);
        }
    }

    private static boolean isPlain(int character) {
        return character > ' ' && character < 127 && character != '"' && character != '=';
    }

    private record Field(String key, Object value) {}
}
