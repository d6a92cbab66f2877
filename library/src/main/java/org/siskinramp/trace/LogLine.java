package org.siskinramp.trace;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds one log line and its fields. Text before the fields, such as a time stamp, is only part of
 * the text.
 */
final class LogLine {

    private static final Pattern FIELD =
            Pattern.compile("(?<![^ ])([a-z_0-9]+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|([^ ]*))");

    private final String text;
    private final Map<String, String> fields;

    private LogLine(String text, Map<String, String> fields) {
        this.text = text;
        this.fields = fields;
    }

    static LogLine parse(String text) {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            String quoted = matcher.group(2);
            String value = quoted == null ? matcher.group(3) : quoted.replaceAll("\\\\(.)", "$1");
            fields.putIfAbsent(matcher.group(1), value);
        }
        return new LogLine(text.strip(), fields);
    }

    String text() {
        return text;
    }

    boolean isEvent(String event) {
        return event.equals(fields.get("event"));
    }

    String value(String key) {
        return fields.getOrDefault(key, "");
    }

    /** Returns an integer, or empty if the field is missing or holds no integer. */
    Optional<Integer> number(String key) {
        try {
            return Optional.of(Integer.valueOf(value(key)));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
