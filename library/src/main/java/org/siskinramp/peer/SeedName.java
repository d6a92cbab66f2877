package org.siskinramp.peer;

import java.util.Optional;

/**
 * Names hosts of which only the address is known. Host names hold no blank, so that no host bears
 * such a name.
 */
public final class SeedName {

    private static final String PREFIX = "at ";

    private SeedName() {}

    /**
     * Names the host at an address.
     *
     * @param address the address as {@code ip:port}
     * @return the name to send to
     */
    public static String of(String address) {
        return PREFIX + address;
    }

    /**
     * Finds the address in a name.
     *
     * @param name a host's name
     * @return the address, or empty if it is the name that the host bears
     */
    public static Optional<String> address(String name) {
        return name.startsWith(PREFIX)
                ? Optional.of(name.substring(PREFIX.length()))
                : Optional.empty();
    }
}
