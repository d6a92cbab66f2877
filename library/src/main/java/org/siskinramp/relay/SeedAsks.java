package org.siskinramp.relay;

import java.util.List;
import java.util.Optional;

/**
 * Chooses which seed is asked next. Answers a store that a starting host cannot reach: others still
 * know routes and servers, and hand them on. Guarded by its owner's lock.
 */
final class SeedAsks {

    private final List<String> addresses;
    private int next;

    SeedAsks(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    /** Returns the next seed but this host itself, or empty if there is none. */
    Optional<String> next(String ownAddress) {
        for (int tried = 0; tried < addresses.size(); tried++) {
            String address = addresses.get(next++ % addresses.size());
            if (!address.equals(ownAddress)) {
                return Optional.of(address);
            }
        }
        return Optional.empty();
    }
}
