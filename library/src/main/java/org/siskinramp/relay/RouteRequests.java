package org.siskinramp.relay;

import java.util.Optional;

/**
 * Decides when to request the routes from another host, and from which one. This is needed if the
 * store rejects the calls of this host and there are too many routes to be sent without a request,
 * and if a delta does not apply to the routes of this host. Not thread-safe; guarded by the lock of
 * its owner.
 */
final class RouteRequests {

    /** Far longer than the answer takes, which is about 100 kB for a thousand routes. */
    private static final long REQUEST_INTERVAL_MILLISECONDS = 1_000;

    /**
     * A full table over a link of 7 Mbit/s takes about 200 ms. Then a host reads the store: the
     * request or its answer may be lost.
     */
    private static final long ANSWER_WAIT_MILLISECONDS = 500;

    private String newestHost = "";
    private long newestVersion = -1;
    private long requestedAt = Long.MIN_VALUE / 2;
    private long requestedAfterDeltaAt = Long.MIN_VALUE / 2;

    /** Records that a host has a version of the operator table. */
    void recordVersion(String host, long version) {
        if (version >= newestVersion) {
            newestHost = host;
            newestVersion = version;
        }
    }

    /** Returns the host to send a request to now, if any host has a newer version than this one. */
    Optional<String> next(long knownVersion, long now) {
        if (newestVersion <= knownVersion || now - requestedAt < REQUEST_INTERVAL_MILLISECONDS) {
            return Optional.empty();
        }
        requestedAt = now;
        return Optional.of(newestHost);
    }

    /** Tells whether to send a request now to a host whose delta does not apply, and records it. */
    boolean requestAfterDelta(long now) {
        if (now - requestedAfterDeltaAt < REQUEST_INTERVAL_MILLISECONDS) {
            return false;
        }
        requestedAfterDeltaAt = now;
        return true;
    }

    /** Tells whether the answer to a request after a delta may still arrive. */
    boolean awaitsAnswer(long now) {
        return now - requestedAfterDeltaAt < ANSWER_WAIT_MILLISECONDS;
    }
}
