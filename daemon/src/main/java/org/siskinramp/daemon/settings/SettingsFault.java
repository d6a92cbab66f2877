package org.siskinramp.daemon.settings;

import java.util.List;
import org.tomlj.TomlParseResult;

/**
 * Describes one fault of a settings file.
 *
 * @param key the dotted key, or {@code -} if the fault belongs to no key
 * @param line the line, from 1, or 0 if the key is absent
 * @param problem what is wrong
 * @param allowed what is allowed
 */
public record SettingsFault(String key, int line, String problem, String allowed) {

    /** Stands for the key of a fault that belongs to none. */
    static final String NO_KEY = "-";

    /** Stands for the line of a key that is absent. */
    static final int NO_LINE = 0;

    /** Returns one fault for each place at which the file is no TOML. */
    static List<SettingsFault> ofSyntax(TomlParseResult parsed) {
        return parsed.errors().stream()
                .map(
                        error ->
                                new SettingsFault(
                                        NO_KEY,
                                        error.position().line(),
                                        "malformed TOML: " + error.getMessage(),
                                        "TOML 1.0"))
                .toList();
    }

    @Override
    public String toString() {
        String place = line == NO_LINE ? key : key + " (line " + line + ")";
        return place + ": " + problem + "; allowed: " + allowed;
    }
}
