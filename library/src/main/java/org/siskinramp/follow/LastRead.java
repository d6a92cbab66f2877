package org.siskinramp.follow;

/**
 * Keeps when a table was last read, by this host or by a peer, and when a time without reads ended.
 * It is changed under the lock of its owner and read by any thread.
 */
final class LastRead {

    /**
     * Entries lapse after three heartbeats of 1.5 s, so a shorter time without reads hides none.
     */
    static final long GAP_MILLISECONDS = 3_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private volatile long readAt = NEVER;
    private volatile long gapEndedAt = NEVER;
    private volatile boolean told;

    /** Takes a read in. What was before the first one is not known, so that it ends a gap too. */
    void renew(long milliseconds, boolean byPeer) {
        if (milliseconds - readAt >= GAP_MILLISECONDS) {
            gapEndedAt = milliseconds;
        }
        if (milliseconds > readAt || !byPeer) {
            told = byPeer;
        }
        readAt = Math.max(readAt, milliseconds);
    }

    long readAt() {
        return readAt;
    }

    long gapEndedAt() {
        return gapEndedAt;
    }

    boolean isTold() {
        return told;
    }
}
