package org.siskinramp.relay;

import java.util.List;
import java.util.Optional;

/**
 * Chooses seeds in turn. A starting host that cannot reach the store receives routes and servers
 * from a seed that has read them before. Not thread-safe; guarded by the lock of its owner.
 */
final class SeedRotation {

    private final List<String> addresses;
    private int nextIndex;

    SeedRotation(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    /** Returns the address of the next seed other than this host, or empty if there is none. */
    Optional<String> nextSeed(String ownAddress) {
        for (int tried = 0; tried < addresses.size(); tried++) {
            String address = addresses.get(nextIndex++ % addresses.size());
            if (!address.equals(ownAddress)) {
                return Optional.of(address);
            }
        }
        return Optional.empty();
    }
}
