package org.siskinramp.relay;

import java.util.Optional;

/**
 * Decides when to ask another host for all routes. Answers a store that turns this host away while
 * there are more routes than are told unasked. It is guarded by the lock of its owner.
 */
final class RouteAsks {

    /** Far longer than the answer takes, which is about 100 kB for a thousand routes. */
    private static final long REPEAT_MILLISECONDS = 1_000;

    private String teller = "";
    private long toldVersion = -1;
    private long askedAt = Long.MIN_VALUE / 2;

    /** Notes that a host knows a version of the operator's table. */
    void heard(String host, long version) {
        if (version >= toldVersion) {
            teller = host;
            toldVersion = version;
        }
    }

    /** Returns whom to ask now, if anybody knows more than this host does. */
    Optional<String> next(long knownVersion, long now) {
        if (toldVersion <= knownVersion || now - askedAt < REPEAT_MILLISECONDS) {
            return Optional.empty();
        }
        askedAt = now;
        return Optional.of(teller);
    }
}
