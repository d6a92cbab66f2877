package org.siskinramp.peer;

import java.util.Optional;

/**
 * Creates and parses placeholder names for seed hosts, of which only the address is known. The
 * names contain a blank, so they cannot clash with the name of a host.
 */
public final class SeedName {

    private static final String PREFIX = "at ";

    private SeedName() {}

    /**
     * Returns the placeholder name of the host at an address.
     *
     * @param address the address as {@code ip:port}
     * @return the name, to which messages can be sent
     */
    public static String of(String address) {
        return PREFIX + address;
    }

    /**
     * Extracts the address from a placeholder name.
     *
     * @param name a placeholder name or the name of a host
     * @return the address as {@code ip:port}, or empty if this is the name of a host
     */
    public static Optional<String> address(String name) {
        return name.startsWith(PREFIX)
                ? Optional.of(name.substring(PREFIX.length()))
                : Optional.empty();
    }
}
