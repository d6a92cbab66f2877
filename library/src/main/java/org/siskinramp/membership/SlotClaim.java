package org.siskinramp.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Records which peers have reported, since the start of a claim, that they act on the same versions
 * as this host and therefore do not own the claimed slots.
 */
final class SlotClaim {

    private final long startedAt;
    private final Map<String, Long> alignedAt = new HashMap<>();

    SlotClaim(long startedAt) {
        this.startedAt = startedAt;
    }

    /**
     * Records that a peer acts on the same versions as this host.
     *
     * @param peer the peer
     * @param acknowledgedMilliseconds when this host sent the heartbeat that the peer acknowledged
     * @param now the time
     */
    void recordAlignment(String peer, long acknowledgedMilliseconds, long now) {
        if (acknowledgedMilliseconds >= startedAt) {
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
