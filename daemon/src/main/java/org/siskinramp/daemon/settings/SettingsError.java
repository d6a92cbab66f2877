package org.siskinramp.daemon.settings;

import java.util.List;
import org.tomlj.TomlParseResult;

/**
 * A validation error of a settings file.
 *
 * @param key the dotted key, or {@code -} if the error does not concern a key
 * @param line the line number, from 1, or 0 if the error does not concern a line
 * @param problem what is wrong
 * @param allowed which values are allowed
 */
public record SettingsError(String key, int line, String problem, String allowed) {

    /** The key of an error that does not concern a key. */
    static final String NO_KEY = "-";

    /** The line of an error that does not concern a line, such as a missing key. */
    static final int NO_LINE = 0;

    /** Returns an error for each syntax error of the TOML file. */
    static List<SettingsError> fromSyntaxErrors(TomlParseResult parsed) {
        return parsed.errors().stream()
                .map(
                        error ->
                                new SettingsError(
                                        NO_KEY,
                                        error.position().line(),
                                        "malformed TOML: " + error.getMessage(),
                                        "TOML 1.0"))
                .toList();
    }

    @Override
    public String toString() {
        String location = line == NO_LINE ? key : key + " (line " + line + ")";
        return location + ": " + problem + "; allowed: " + allowed;
    }
}
