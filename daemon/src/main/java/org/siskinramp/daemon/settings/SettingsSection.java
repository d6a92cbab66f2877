package org.siskinramp.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads and validates the keys of one section. A key with an error yields a placeholder, so that
 * the rest of the file is checked too; the resulting settings are never used.
 */
final class SettingsSection {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String NAME_ALLOWED =
            "1 to 63 letters, digits, dots, underscores and hyphens, first a letter or a digit";
    private static final String ADDRESS_ALLOWED = "an IP address and a port, such as 10.0.0.1:8080";
    private static final String HTTP_ADDRESS_ALLOWED =
            "http:// with an IP address and a port, such as http://10.0.0.1:7000";
    private static final String HTTP_SCHEME = "http://";

    private final TomlParseResult parsed;
    private final String name;
    private final List<SettingsError> errors;
    private final List<String> knownKeys = new ArrayList<>();
    private final boolean isTable;

    SettingsSection(TomlParseResult parsed, String name, List<SettingsError> errors) {
        this.parsed = parsed;
        this.name = name;
        this.errors = errors;
        Object value = parsed.get(List.of(name));
        isTable = value instanceof TomlTable;
        if (value != null && !isTable) {
            errors.add(
                    new SettingsError(
                            name, lineOf(List.of(name)), "is not a section", "[" + name + "]"));
        }
    }

    String name(String key) {
        Optional<String> text = requiredText(key, NAME_ALLOWED);
        if (text.isPresent() && !NAME.matcher(text.get()).matches()) {
            addError(key, "is not a valid name", NAME_ALLOWED);
        }
        return text.orElse("");
    }

    InetSocketAddress address(String key) {
        Optional<String> text = requiredText(key, ADDRESS_ALLOWED);
        Optional<InetSocketAddress> address = text.flatMap(IpSocketAddress::parse);
        if (text.isPresent() && address.isEmpty()) {
            addError(key, "is not an address", ADDRESS_ALLOWED);
        }
        return address.orElse(new InetSocketAddress(0));
    }

    /** Reads a list of addresses, which is empty if the key is missing. */
    List<String> addresses(String key) {
        String allowed = "a list of addresses, each " + ADDRESS_ALLOWED;
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray list)) {
            addError(key, "has the wrong type", allowed);
            return List.of();
        }
        List<String> addresses = new ArrayList<>();
        for (Object element : list.toList()) {
            if (element instanceof String text && IpSocketAddress.parse(text).isPresent()) {
                addresses.add(text);
            } else {
                addError(key, element + " is not an address", allowed);
            }
        }
        return addresses;
    }

    URI httpAddress(String key) {
        Optional<String> text = requiredText(key, HTTP_ADDRESS_ALLOWED);
        Optional<String> address =
                text.filter(value -> value.startsWith(HTTP_SCHEME))
                        .map(value -> value.substring(HTTP_SCHEME.length()))
                        .filter(value -> IpSocketAddress.parse(value).isPresent());
        if (text.isPresent() && address.isEmpty()) {
            addError(key, "is not an address", HTTP_ADDRESS_ALLOWED);
        }
        return URI.create(HTTP_SCHEME + address.orElse("0.0.0.0:0"));
    }

    Path readableFile(String key, Path settingsFile) {
        String allowed = "the path of a readable file";
        Optional<Path> path =
                requiredText(key, allowed)
                        .map(value -> settingsFile.toAbsolutePath().resolveSibling(value));
        if (path.isPresent()
                && !(Files.isRegularFile(path.get()) && Files.isReadable(path.get()))) {
            addError(key, "is not a readable file: " + path.get().normalize(), allowed);
        }
        return path.orElse(settingsFile).normalize();
    }

    int integer(String key, int minimum, int maximum, int defaultValue) {
        String allowed = "a whole number from " + minimum + " to " + maximum;
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Long number)) {
            addError(key, "has the wrong type", allowed);
            return defaultValue;
        }
        if (number < minimum || number > maximum) {
            addError(key, number + " is out of range", allowed);
            return defaultValue;
        }
        return number.intValue();
    }

    boolean flag(String key, boolean defaultValue) {
        Object value = value(key);
        if (value instanceof Boolean flag) {
            return flag;
        }
        if (value != null) {
            addError(key, "has the wrong type", "true or false");
        }
        return defaultValue;
    }

    /** Reads all keys of this section, whatever their names, as numbers; true is 1, false is 0. */
    Map<String, Double> numbers() {
        Map<String, Double> numbers = new TreeMap<>();
        if (isTable) {
            for (String key : parsed.getTable(List.of(name)).keySet()) {
                Object value = value(key);
                if (value instanceof Number number) {
                    numbers.put(key, number.doubleValue());
                } else if (value instanceof Boolean booleanValue) {
                    numbers.put(key, booleanValue ? 1.0 : 0.0);
                } else {
                    addError(key, "has the wrong type", "a number, true or false");
                }
            }
        }
        return numbers;
    }

    /** Returns an error for each unknown section. */
    static List<SettingsError> unknownSectionErrors(
            TomlParseResult parsed, List<String> knownNames) {
        return parsed.keySet().stream()
                .filter(key -> !knownNames.contains(key))
                .map(key -> unknownKeyError(parsed, List.of(key), knownNames))
                .toList();
    }

    LogLevel logLevel(String key, LogLevel defaultValue) {
        return choice(key, LogLevel.values(), LogLevel::label, defaultValue, "is not a level");
    }

    RoutingPolicy routingPolicy(String key, RoutingPolicy defaultValue) {
        return choice(
                key, RoutingPolicy.values(), RoutingPolicy::label, defaultValue, "is not a policy");
    }

    private <T> T choice(
            String key, T[] choices, Function<T, String> labelOf, T defaultValue, String problem) {
        String allowed =
                "one of " + Arrays.stream(choices).map(labelOf).collect(Collectors.joining(", "));
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof String label)) {
            addError(key, "has the wrong type", allowed);
            return defaultValue;
        }
        Optional<T> choice =
                Arrays.stream(choices)
                        .filter(each -> labelOf.apply(each).equals(label))
                        .findFirst();
        if (choice.isEmpty()) {
            addError(key, problem, allowed);
        }
        return choice.orElse(defaultValue);
    }

    void addError(String key, String problem, String allowed) {
        errors.add(new SettingsError(name + "." + key, lineOf(path(key)), problem, allowed));
    }

    /** Adds an error for each key that was not read, and is therefore unknown. */
    void addUnknownKeyErrors() {
        if (!isTable) {
            return;
        }
        parsed.getTable(List.of(name)).keySet().stream()
                .filter(key -> !knownKeys.contains(key))
                .map(key -> unknownKeyError(parsed, path(key), knownKeys))
                .forEach(errors::add);
    }

    static SettingsError unknownKeyError(
            TomlParseResult parsed, List<String> path, List<String> knownNames) {
        TomlPosition position = parsed.inputPositionOf(path);
        return new SettingsError(
                String.join(".", path),
                position == null ? SettingsError.NO_LINE : position.line(),
                "unknown key",
                "one of " + String.join(", ", knownNames));
    }

    private Optional<String> requiredText(String key, String allowed) {
        Object value = value(key);
        if (value == null) {
            addMissingKeyError(key, allowed);
            return Optional.empty();
        }
        if (value instanceof String text) {
            return Optional.of(text);
        }
        addError(key, "has the wrong type", allowed);
        return Optional.empty();
    }

    /**
     * After a TOML syntax error, which is reported already, a key may be present but not parsed.
     */
    private void addMissingKeyError(String key, String allowed) {
        if (!parsed.hasErrors()) {
            addError(key, "is missing", allowed);
        }
    }

    private Object value(String key) {
        knownKeys.add(key);
        return isTable ? parsed.get(path(key)) : null;
    }

    private List<String> path(String key) {
        return List.of(name, key);
    }

    private int lineOf(List<String> path) {
        if (path.size() > 1 && !isTable) {
            return SettingsError.NO_LINE;
        }
        TomlPosition position = parsed.inputPositionOf(path);
        return position == null ? SettingsError.NO_LINE : position.line();
    }
}
