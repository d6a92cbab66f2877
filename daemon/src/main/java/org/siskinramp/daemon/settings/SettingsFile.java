package org.siskinramp.daemon.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Reads and validates settings files.
 *
 * <pre>{@code
 * Settings settings = SettingsFile.check(Path.of("settings.toml")).settings();
 * }</pre>
 */
public final class SettingsFile {

    private SettingsFile() {}

    /**
     * Reads the settings file of an entry host and validates all keys.
     *
     * @param file the file; relative paths in it are relative to its directory
     * @return the settings, or all errors
     */
    public static SettingsReport<Settings> check(Path file) {
        return check(file, parsed -> new SettingsReader(file, parsed).read());
    }

    /**
     * Reads the settings file of a gateway and validates all keys.
     *
     * @param file the file
     * @return the settings, or all errors
     */
    public static SettingsReport<GatewaySettings> checkGateway(Path file) {
        return check(file, parsed -> new GatewaySettingsReader(file, parsed).read());
    }

    private static <S> SettingsReport<S> check(
            Path file, Function<TomlParseResult, SettingsReport<S>> reader) {
        String text;
        try {
            text = Files.readString(file);
        } catch (CharacterCodingException failure) {
            return unreadable(file, "is not UTF-8 text");
        } catch (IOException failure) {
            return unreadable(file, "cannot be read");
        }
        return reader.apply(Toml.parse(text));
    }

    private static <S> SettingsReport<S> unreadable(Path file, String problem) {
        return SettingsReport.invalid(
                file,
                List.of(
                        new SettingsError(
                                SettingsError.NO_KEY,
                                SettingsError.NO_LINE,
                                "the file " + problem,
                                "a readable TOML file")));
    }
}
