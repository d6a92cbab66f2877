package org.siskinramp.follow;

/**
 * Keeps when a table was last read, by this host or by a peer. It is changed under the lock of its
 * owner and read by any thread.
 */
final class LastRead {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private volatile long readAt = NEVER;
    private volatile boolean told;

    /** Takes a read in. */
    void renew(long milliseconds, boolean byPeer) {
        if (milliseconds > readAt || !byPeer) {
            told = byPeer;
        }
        readAt = Math.max(readAt, milliseconds);
    }

    long readAt() {
        return readAt;
    }

    boolean isTold() {
        return told;
    }
}
