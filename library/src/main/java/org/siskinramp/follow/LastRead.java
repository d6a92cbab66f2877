package org.siskinramp.follow;

/**
 * Records when a table was last read, by this host or by a peer, and when the last read gap ended.
 * It is changed while its owner's lock is held, and may be read by any thread.
 */
final class LastRead {

    /**
     * The shortest interval without reads that counts as a read gap. Entries expire after three
     * missed heartbeats, which are 1.5 s apart. The first may be missed just after a read, so an
     * entry can expire 3 s after that read, but no sooner.
     */
    static final long MINIMUM_GAP_MILLISECONDS = 3_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private volatile long readAt = NEVER;
    private volatile long gapEndedAt = NEVER;
    private volatile boolean byPeer;

    /**
     * Records a read. The first one ends a read gap, since nothing is known about earlier reads.
     */
    void recordRead(long milliseconds, boolean readByPeer) {
        if (milliseconds - readAt >= MINIMUM_GAP_MILLISECONDS) {
            gapEndedAt = milliseconds;
        }
        if (milliseconds > readAt || !readByPeer) {
            byPeer = readByPeer;
        }
        readAt = Math.max(readAt, milliseconds);
    }

    /**
     * Records that the last read was the first one after the store was restored, so that entries
     * may be missing as after a read gap.
     */
    void recordRestore() {
        gapEndedAt = readAt;
    }

    long readAt() {
        return readAt;
    }

    long gapEndedAt() {
        return gapEndedAt;
    }

    boolean isByPeer() {
        return byPeer;
    }
}
