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

/** Checks that the table of settings in docs/OPERATING.md agrees with the code. */
final class SettingsDocumentationTest {

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

    private record SettingRow(String key, String defaultValue, String allowed) {}

    @BeforeEach
    void writeToken() throws IOException {
        Files.writeString(directory.resolve("token"), "abcdefghijklmnop");
    }

    @Test
    void documentationListsAllKeysOfEachSection() throws IOException {
        Map<String, List<String>> sections =
                settingRows().stream()
                        .map(line -> line.key().split("\\.", 2))
                        .collect(
                                Collectors.groupingBy(
                                        keyParts -> keyParts[0],
                                        Collectors.mapping(
                                                keyParts -> keyParts[1], Collectors.toList())));
        assertEquals(9, sections.size());
        for (Map.Entry<String, List<String>> section : sections.entrySet()) {
            SettingsError error = errorOf(section.getKey(), "no_such_key = 1");
            assertEquals("one of " + String.join(", ", section.getValue()), error.allowed());
        }
    }

    @Test
    void documentationListsTheAllowedValues() throws IOException {
        for (SettingRow row : settingRows()) {
            String[] keyParts = row.key().split("\\.", 2);
            if (!REQUIRED.containsKey(row.key())) {
                assertEquals(
                        row.allowed(), errorOf(keyParts[0], keyParts[1] + " = true").allowed());
            }
        }
    }

    @Test
    void documentationListsTheDefaults() throws IOException {
        StringBuilder toml = new StringBuilder();
        for (SettingRow row : settingRows()) {
            boolean required = REQUIRED.containsKey(row.key());
            assertEquals(required, row.defaultValue().equals("required"), row.key());
            String value = required ? REQUIRED.get(row.key()) : row.defaultValue();
            toml.append(row.key()).append(" = ").append(value).append('\n');
        }
        assertEquals(check(settingsWith("", "")).settings(), check(toml.toString()).settings());
    }

    private static List<SettingRow> settingRows() throws IOException {
        List<SettingRow> rows =
                Files.readAllLines(PAGE).stream()
                        .filter(text -> text.matches("\\| `[a-z_]+\\.[a-z_]+` \\|.*"))
                        .map(text -> text.split(" *\\| *", -1))
                        .map(
                                cell ->
                                        new SettingRow(
                                                withoutBackquotes(cell[1]),
                                                withoutBackquotes(cell[2]),
                                                withoutBackquotes(cell[3])))
                        .toList();
        assertFalse(rows.isEmpty());
        return rows;
    }

    private static String withoutBackquotes(String cell) {
        return cell.replace("`", "");
    }

    private SettingsError errorOf(String section, String line) throws IOException {
        List<SettingsError> errors = check(settingsWith(section, line)).errors();
        assertEquals(1, errors.size(), line);
        return errors.get(0);
    }

    /**
     * Returns a settings file with all required keys, and a line in one section if it is not empty.
     */
    private static String settingsWith(String section, String line) {
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
