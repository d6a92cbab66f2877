package org.siskinramp.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Holds the result of validating a settings file: the settings, or all errors.
 *
 * @param <S> the type of the settings
 */
public final class SettingsReport<S> {

    private final Path file;
    private final S settings;
    private final List<SettingsError> errors;

    private SettingsReport(Path file, S settings, List<SettingsError> errors) {
        this.file = file;
        this.settings = settings;
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns a report with the settings if there are no errors, or else with the errors, ordered
     * by line.
     */
    static <S> SettingsReport<S> of(Path file, S settings, List<SettingsError> errors) {
        return errors.isEmpty()
                ? new SettingsReport<>(file, Objects.requireNonNull(settings, "settings"), errors)
                : invalid(file, errors);
    }

    /** Returns a report with errors, at least one. */
    static <S> SettingsReport<S> invalid(Path file, List<SettingsError> errors) {
        List<SettingsError> sorted = new ArrayList<>(errors);
        sorted.sort(Comparator.comparingInt(SettingsError::line));
        return new SettingsReport<>(file, null, sorted);
    }

    /**
     * Returns the errors, ordered by line.
     *
     * @return the errors, empty if the settings are valid
     */
    public List<SettingsError> errors() {
        return errors;
    }

    /**
     * Tells whether the settings are valid.
     *
     * @return true if there are no errors
     */
    public boolean isValid() {
        return errors.isEmpty();
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     * @throws ResultException with {@link ResultCode#SETTINGS_INVALID} and all errors if there are
     *     any
     */
    public S settings() {
        if (!isValid()) {
            String allErrors =
                    errors.stream().map(SettingsError::toString).collect(Collectors.joining(" | "));
            throw new ResultException(
                    ResultCode.SETTINGS_INVALID, "file " + file + ": " + allErrors);
        }
        return settings;
    }
}
