package org.siskinramp.configuration;

import java.util.Locale;

/** The states in which operators can put an object of the configuration. */
public enum AdministrativeState {
    /** Takes new work. */
    IN,
    /** Takes no new work; requests in progress are completed. */
    OUT,
    /** Is no longer part of the configuration. */
    REMOVED;

    /**
     * Returns the label used in tickets.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
