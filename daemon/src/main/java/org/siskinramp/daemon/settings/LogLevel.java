package org.siskinramp.daemon.settings;

import java.util.Locale;

/** Names the levels of the log, most severe first. */
public enum LogLevel {
    /** Failed internal checks only. */
    ERROR,
    /** Also what operators should look at. */
    WARN,
    /** Also each event, such as a routing decision. */
    INFO,
    /** Also details for developers. */
    DEBUG;

    /**
     * Returns the word used in settings.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
