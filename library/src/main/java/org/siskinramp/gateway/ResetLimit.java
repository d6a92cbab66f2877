package org.siskinramp.gateway;

/**
 * Learns how many requests in progress the backend servers of one service accept before they reset
 * connections, for bursts in which several hosts fill the same servers. The limit falls if resets
 * by full servers are more than a small share of the requests; while they are rare, it rises again
 * step by step until it ends. Without resets there is no limit. Guarded by the lock of the gateway.
 */
final class ResetLimit {

    /** The time without frequent resets after which the limit rises by one. */
    private static final long INITIAL_RISE_MILLISECONDS = 1_000;

    /** Bounds how long a limit outlives its cause: six slots recover three steps in 48 s. */
    private static final long MAXIMUM_RISE_MILLISECONDS = 16_000;

    /**
     * Resets below this share do not lower the limit: two hosts may always meet on the last slot of
     * a server, which costs less than leaving that slot unused on all servers.
     */
    private static final double TOLERATED_SHARE = 0.04;

    /** Resets below this number do not lower the limit, since they show no share. */
    private static final int MINIMUM_RESETS = 3;

    /** How long after a reset by a full server further resets are taken for the same. */
    private static final long RECENT_RESET_MILLISECONDS = 30_000;

    /**
     * The limit leaves room for a request that this host does not see only if the servers accept at
     * least this many. With fewer, the room costs more requests than the resets.
     */
    private static final int MINIMUM_REQUESTS_FOR_ROOM = 4;

    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private int learned = UNLIMITED;
    private int largestSlots;
    private long changedAt = NEVER;
    private long resetAt = NEVER;
    private long riseMilliseconds = INITIAL_RISE_MILLISECONDS;
    private boolean raised;
    private int completions;
    private int resets;
    private int largestResetLoad;

    /**
     * Returns the lowest limit of a server. A reset below it has another cause than a full server,
     * and a lower limit would give up most of the capacity of the service.
     */
    static int lowestLimit(int slots) {
        return Math.max(1, (slots + 1) / 2);
    }

    /** Tells whether a full server has reset a connection recently. */
    boolean hasRecentReset(long now) {
        return now - resetAt < RECENT_RESET_MILLISECONDS;
    }

    /** Tells whether the limit is in effect. */
    boolean isActive() {
        return learned != UNLIMITED;
    }

    /** Returns the learned limit, whatever the slots of a server; very large if there is none. */
    int learned() {
        return learned;
    }

    /** Returns how many requests in progress a server may have. */
    int limit(int slots) {
        return Math.min(slots, Math.max(lowestLimit(slots), learned));
    }

    /** Records a request that a server completed. */
    void recordCompletion() {
        completions++;
    }

    /**
     * Records a reset by a full server. Requests that were sent before the last change do not lower
     * the limit, since it did not apply to them.
     *
     * @param requestsInProgress the load of the server, the request included; of several resets the
     *     largest counts, since a host does not see the latest requests of other hosts
     * @return true if the limit is lower than before
     */
    boolean recordReset(int requestsInProgress, int slots, long sentAt, long now) {
        resetAt = now;
        if (sentAt <= changedAt) {
            return false;
        }
        resets++;
        largestResetLoad = Math.max(largestResetLoad, requestsInProgress);
        if (resets < MINIMUM_RESETS || resets <= TOLERATED_SHARE * completions) {
            return false;
        }
        int before = learned;
        largestSlots = Math.max(largestSlots, slots);
        int accepted = largestResetLoad - 1;
        int room = accepted >= MINIMUM_REQUESTS_FOR_ROOM ? 1 : 0;
        int lowest = Math.max(lowestLimit(slots), accepted - room);
        learned = Math.max(lowest, Math.min(limit(slots), largestResetLoad) - 1);
        if (raised) {
            riseMilliseconds = Math.min(2 * riseMilliseconds, MAXIMUM_RISE_MILLISECONDS);
        }
        beginPeriod(false, now);
        return learned < before;
    }

    private void beginPeriod(boolean afterRise, long now) {
        raised = afterRise;
        changedAt = now;
        completions = 0;
        resets = 0;
        largestResetLoad = 0;
    }

    /** Raises the limit by one if resets were rare for a time; returns true if it did. */
    boolean raiseIfDue(long now) {
        if (now - changedAt < riseMilliseconds) {
            return false;
        }
        if (!isActive()) {
            beginPeriod(false, now);
            return false;
        }
        learned++;
        beginPeriod(true, now);
        if (learned > largestSlots) {
            learned = UNLIMITED;
            riseMilliseconds = INITIAL_RISE_MILLISECONDS;
        }
        return true;
    }
}
