package org.siskinramp.membership;

import java.util.HashMap;
import java.util.Map;

/** Collects which peers have said, since this host became an owner, that they are not. */
final class Claim {

    private final long startedAt;
    private final Map<String, Long> alignedAt = new HashMap<>();

    Claim(long startedAt) {
        this.startedAt = startedAt;
    }

    /**
     * Notes that a peer acts on the same versions as this host.
     *
     * @param peer the peer
     * @param echoedMilliseconds when this host sent the heartbeat that the peer repeated
     * @param now the time
     */
    void align(String peer, long echoedMilliseconds, long now) {
        if (echoedMilliseconds >= startedAt) {
            alignedAt.putIfAbsent(peer, now);
        }
    }

    long startedAt() {
        return startedAt;
    }

    boolean isAligned(String peer) {
        return alignedAt.containsKey(peer);
    }

    long alignedAt(String peer) {
        return alignedAt.get(peer);
    }
}
