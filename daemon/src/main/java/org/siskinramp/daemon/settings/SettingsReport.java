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
 * Holds what the check of a settings file found: the settings, or every fault.
 *
 * @param <S> the type of the settings
 */
public final class SettingsReport<S> {

    private final Path file;
    private final S settings;
    private final List<SettingsFault> faults;

    private SettingsReport(Path file, S settings, List<SettingsFault> faults) {
        this.file = file;
        this.settings = settings;
        this.faults = List.copyOf(faults);
    }

    /**
     * Reports the settings if no faults were found, or else the faults in the order of the file.
     */
    static <S> SettingsReport<S> of(Path file, S settings, List<SettingsFault> faults) {
        return faults.isEmpty()
                ? new SettingsReport<>(file, Objects.requireNonNull(settings, "settings"), faults)
                : invalid(file, faults);
    }

    /** Reports faults, one at least. */
    static <S> SettingsReport<S> invalid(Path file, List<SettingsFault> faults) {
        List<SettingsFault> sorted = new ArrayList<>(faults);
        sorted.sort(Comparator.comparingInt(SettingsFault::line));
        return new SettingsReport<>(file, null, sorted);
    }

    /**
     * Returns the faults in the order of the file.
     *
     * @return the faults, empty if the settings are valid
     */
    public List<SettingsFault> faults() {
        return faults;
    }

    /**
     * Tells whether the settings may be used.
     *
     * @return true if there are no faults
     */
    public boolean isValid() {
        return faults.isEmpty();
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     * @throws ResultException with {@link ResultCode#SETTINGS_INVALID} and all faults if there are
     *     any
     */
    public S settings() {
        if (!isValid()) {
            String all =
                    faults.stream().map(SettingsFault::toString).collect(Collectors.joining(" | "));
            throw new ResultException(ResultCode.SETTINGS_INVALID, "file " + file + ": " + all);
        }
        return settings;
    }
}
