package org.siskinramp.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Holds the table of settings in docs/OPERATING.md against the code. */
final class SettingsPageTest {

    private static final Path PAGE = Path.of("../docs/OPERATING.md");

    private static final Map<String, String> REQUIRED =
            Map.of(
                    "host.name", "\"entry-1\"",
                    "host.availability_zone", "\"almaty-1\"",
                    "caller_side.address", "\"127.0.0.1:0\"",
                    "peer_link.address", "\"127.0.0.1:0\"",
                    "administration.address", "\"127.0.0.1:0\"",
                    "administration.token_file", "\"token\"",
                    "platform.address", "\"http://127.0.0.1:7000\"");

    @TempDir private Path directory;

    private record Line(String key, String standard, String allowed) {}

    @BeforeEach
    void writeToken() throws IOException {
        Files.writeString(directory.resolve("token"), "abcdefghijklmnop");
    }

    @Test
    void pageNamesAllKeysOfEachSection() throws IOException {
        Map<String, List<String>> sections =
                lines().stream()
                        .map(line -> line.key().split("\\.", 2))
                        .collect(
                                Collectors.groupingBy(
                                        words -> words[0],
                                        Collectors.mapping(
                                                words -> words[1], Collectors.toList())));
        assertEquals(9, sections.size());
        for (Map.Entry<String, List<String>> section : sections.entrySet()) {
            SettingsFault fault = faultOf(section.getKey(), "no_such_key = 1");
            assertEquals("one of " + String.join(", ", section.getValue()), fault.allowed());
        }
    }

    @Test
    void pageNamesTheValuesThatAreAllowed() throws IOException {
        for (Line line : lines()) {
            String[] words = line.key().split("\\.", 2);
            if (!REQUIRED.containsKey(line.key())) {
                assertEquals(line.allowed(), faultOf(words[0], words[1] + " = true").allowed());
            }
        }
    }

    @Test
    void pageNamesTheDefaults() throws IOException {
        StringBuilder toml = new StringBuilder();
        for (Line line : lines()) {
            boolean required = REQUIRED.containsKey(line.key());
            assertEquals(required, line.standard().equals("required"), line.key());
            String value = required ? REQUIRED.get(line.key()) : line.standard();
            toml.append(line.key()).append(" = ").append(value).append('\n');
        }
        assertEquals(check(required("", "")).settings(), check(toml.toString()).settings());
    }

    private static List<Line> lines() throws IOException {
        List<Line> lines =
                Files.readAllLines(PAGE).stream()
                        .filter(text -> text.matches("\\| `[a-z_]+\\.[a-z_]+` \\|.*"))
                        .map(text -> text.split(" *\\| *", -1))
                        .map(cell -> new Line(plain(cell[1]), plain(cell[2]), plain(cell[3])))
                        .toList();
        assertFalse(lines.isEmpty());
        return lines;
    }

    private static String plain(String cell) {
        return cell.replace("`", "");
    }

    private SettingsFault faultOf(String section, String line) throws IOException {
        List<SettingsFault> faults = check(required(section, line)).faults();
        assertEquals(1, faults.size(), line);
        return faults.get(0);
    }

    /** Dotted keys name the sections; the fault, if any, is put into one of them. */
    private static String required(String section, String line) {
        String toml =
                REQUIRED.entrySet().stream()
                        .map(entry -> entry.getKey() + " = " + entry.getValue() + "\n")
                        .collect(Collectors.joining());
        return line.isEmpty() ? toml : toml + section + "." + line + "\n";
    }

    private SettingsReport<Settings> check(String toml) throws IOException {
        Path file = directory.resolve("settings.toml");
        Files.writeString(file, toml);
        return SettingsFile.check(file);
    }
}
