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
 * Reads the keys of one section. A key that has a fault yields a stand-in value, so that the rest
 * of the file is checked too; the settings are dropped then.
 */
final class SettingsSection {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String NAME_ALLOWED =
            "1 to 63 letters, digits, dots, underscores and hyphens, first a letter or a digit";
    private static final String ADDRESS_ALLOWED = "an IP number and a port, such as 10.0.0.1:8080";
    private static final String HTTP_ADDRESS_ALLOWED =
            "http:// with an IP number and a port, such as http://10.0.0.1:7000";
    private static final String HTTP_SCHEME = "http://";

    private final TomlParseResult parsed;
    private final String name;
    private final List<SettingsFault> faults;
    private final List<String> knownKeys = new ArrayList<>();
    private final boolean isTable;

    SettingsSection(TomlParseResult parsed, String name, List<SettingsFault> faults) {
        this.parsed = parsed;
        this.name = name;
        this.faults = faults;
        Object value = parsed.get(List.of(name));
        isTable = value instanceof TomlTable;
        if (value != null && !isTable) {
            faults.add(
                    new SettingsFault(
                            name, lineOf(List.of(name)), "not a section", "[" + name + "]"));
        }
    }

    String name(String key) {
        Optional<String> text = requiredText(key, NAME_ALLOWED);
        if (text.isPresent() && !NAME.matcher(text.get()).matches()) {
            addFault(key, "is not a name", NAME_ALLOWED);
        }
        return text.orElse("");
    }

    InetSocketAddress address(String key) {
        Optional<String> text = requiredText(key, ADDRESS_ALLOWED);
        Optional<InetSocketAddress> address = text.flatMap(IpAddress::parse);
        if (text.isPresent() && address.isEmpty()) {
            addFault(key, "is not an address", ADDRESS_ALLOWED);
        }
        return address.orElse(new InetSocketAddress(0));
    }

    /** Reads a list of addresses; a missing one is empty. */
    List<String> addresses(String key) {
        String allowed = "a list of " + ADDRESS_ALLOWED;
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray list)) {
            addFault(key, "has the wrong type", allowed);
            return List.of();
        }
        List<String> addresses = new ArrayList<>();
        for (Object element : list.toList()) {
            if (element instanceof String text && IpAddress.parse(text).isPresent()) {
                addresses.add(text);
            } else {
                addFault(key, element + " is not an address", allowed);
            }
        }
        return addresses;
    }

    URI httpAddress(String key) {
        Optional<String> text = requiredText(key, HTTP_ADDRESS_ALLOWED);
        Optional<String> address =
                text.filter(value -> value.startsWith(HTTP_SCHEME))
                        .map(value -> value.substring(HTTP_SCHEME.length()))
                        .filter(value -> IpAddress.parse(value).isPresent());
        if (text.isPresent() && address.isEmpty()) {
            addFault(key, "is not an address", HTTP_ADDRESS_ALLOWED);
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
            addFault(key, "no readable file at " + path.get().normalize(), allowed);
        }
        return path.orElse(settingsFile).normalize();
    }

    int integer(String key, int least, int greatest, int standard) {
        String allowed = "a whole number from " + least + " to " + greatest;
        Object value = value(key);
        if (value == null) {
            return standard;
        }
        if (!(value instanceof Long number)) {
            addFault(key, "has the wrong type", allowed);
            return standard;
        }
        if (number < least || number > greatest) {
            addFault(key, number + " is out of range", allowed);
            return standard;
        }
        return number.intValue();
    }

    boolean flag(String key, boolean standard) {
        Object value = value(key);
        if (value instanceof Boolean flag) {
            return flag;
        }
        if (value != null) {
            addFault(key, "has the wrong type", "true or false");
        }
        return standard;
    }

    /** Reads all keys of this section as figures, whatever their names; truth counts as one. */
    Map<String, Double> figures() {
        Map<String, Double> figures = new TreeMap<>();
        if (isTable) {
            for (String key : parsed.getTable(List.of(name)).keySet()) {
                Object value = value(key);
                if (value instanceof Number number) {
                    figures.put(key, number.doubleValue());
                } else if (value instanceof Boolean truth) {
                    figures.put(key, truth ? 1.0 : 0.0);
                } else {
                    addFault(key, "has the wrong type", "a number, true or false");
                }
            }
        }
        return figures;
    }

    /** Returns a fault for each section that is not known. */
    static List<SettingsFault> unknownSections(TomlParseResult parsed, List<String> known) {
        return parsed.keySet().stream()
                .filter(key -> !known.contains(key))
                .map(key -> unknown(parsed, List.of(key), known))
                .toList();
    }

    LogLevel logLevel(String key, LogLevel standard) {
        return choice(key, LogLevel.values(), LogLevel::word, standard, "is not a level");
    }

    RoutingPolicy routingPolicy(String key, RoutingPolicy standard) {
        return choice(
                key, RoutingPolicy.values(), RoutingPolicy::word, standard, "is not a policy");
    }

    private <T> T choice(
            String key, T[] choices, Function<T, String> wordOf, T standard, String problem) {
        String allowed =
                "one of " + Arrays.stream(choices).map(wordOf).collect(Collectors.joining(", "));
        Object value = value(key);
        if (value == null) {
            return standard;
        }
        if (!(value instanceof String word)) {
            addFault(key, "has the wrong type", allowed);
            return standard;
        }
        Optional<T> choice =
                Arrays.stream(choices).filter(each -> wordOf.apply(each).equals(word)).findFirst();
        if (choice.isEmpty()) {
            addFault(key, problem, allowed);
        }
        return choice.orElse(standard);
    }

    void addFault(String key, String problem, String allowed) {
        faults.add(new SettingsFault(name + "." + key, lineOf(path(key)), problem, allowed));
    }

    /** Reports every key that nothing has read. */
    void close() {
        if (!isTable) {
            return;
        }
        parsed.getTable(List.of(name)).keySet().stream()
                .filter(key -> !knownKeys.contains(key))
                .map(key -> unknown(parsed, path(key), knownKeys))
                .forEach(faults::add);
    }

    static SettingsFault unknown(TomlParseResult parsed, List<String> path, List<String> known) {
        TomlPosition position = parsed.inputPositionOf(path);
        return new SettingsFault(
                String.join(".", path),
                position == null ? SettingsFault.NO_LINE : position.line(),
                "unknown key",
                "one of " + String.join(", ", known));
    }

    private Optional<String> requiredText(String key, String allowed) {
        Object value = value(key);
        if (value == null) {
            addMissing(key, allowed);
            return Optional.empty();
        }
        if (value instanceof String text) {
            return Optional.of(text);
        }
        addFault(key, "has the wrong type", allowed);
        return Optional.empty();
    }

    /** A key may only seem to be missing after malformed TOML, which is reported already. */
    private void addMissing(String key, String allowed) {
        if (!parsed.hasErrors()) {
            addFault(key, "is missing", allowed);
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
            return SettingsFault.NO_LINE;
        }
        TomlPosition position = parsed.inputPositionOf(path);
        return position == null ? SettingsFault.NO_LINE : position.line();
    }
}
