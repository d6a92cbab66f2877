package org.siskinramp.configuration;

import java.util.Locale;

/** Tells whether an object takes new work. */
public enum ServiceState {
    /** Takes new work. */
    IN,
    /** Takes no new work; requests in progress end. */
    OUT,
    /** Is no longer part of the configuration. */
    REMOVED;

    /**
     * Returns the word used in tickets.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
