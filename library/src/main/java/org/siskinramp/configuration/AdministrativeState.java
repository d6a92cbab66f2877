package org.siskinramp.configuration;

import java.util.Locale;

/** Names whether an object of the configuration is in service. */
public enum AdministrativeState {
    /** Takes new work. */
    IN,
    /** Takes no new work; requests in progress are completed. */
    OUT,
    /** Is no longer part of the configuration. */
    REMOVED;

    /**
     * Returns the word used in tickets.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
