package org.siskinramp.daemon.settings;

import java.util.Locale;

/** The log levels, most severe first. Each level includes those before it. */
public enum LogLevel {
    /** Only events that report a violated invariant. */
    ERROR,
    /** Also warnings; no event has this level at present. */
    WARN,
    /** Also all other events, such as routing decisions. */
    INFO,
    /** Also details for developers; no event has this level at present. */
    DEBUG;

    /**
     * Returns the label used in settings files.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
