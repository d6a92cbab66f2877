package org.siskinramp.gateway;

import java.util.Arrays;

/**
 * Bounds the repeats of this host by its own requests in a sliding window, so that the repeats of
 * all hosts together stay within one budget without a message between them. Answers a retry storm:
 * many servers that fail at once must not be sent more than a share of the usual load on top.
 */
final class RetryBudget {

    private static final int BUCKETS = 10;

    private final double share;
    private final long bucketMilliseconds;
    private final int[] requests = new int[BUCKETS];
    private final int[] repeats = new int[BUCKETS];
    private long newest = Long.MIN_VALUE;

    RetryBudget(double share, long windowMilliseconds) {
        this.share = share;
        this.bucketMilliseconds = Math.max(1, windowMilliseconds / BUCKETS);
    }

    /** Counts a request that arrived. */
    void countRequest(long now) {
        requests[bucket(now)]++;
    }

    /** Counts a repeat that is sent. */
    void countRepeat(long now) {
        repeats[bucket(now)]++;
    }

    /**
     * Tells whether one more repeat fits.
     *
     * @param slack how many repeats this host may send beyond the share
     */
    boolean allows(long now, double slack) {
        return repeats(now) + 1 <= share * requests(now) + slack;
    }

    /** Returns the requests that count now. */
    int requests(long now) {
        bucket(now);
        return Arrays.stream(requests).sum();
    }

    /** Returns the repeats that count now. */
    int repeats(long now) {
        bucket(now);
        return Arrays.stream(repeats).sum();
    }

    private int bucket(long now) {
        long current = Math.floorDiv(now, bucketMilliseconds);
        if (newest == Long.MIN_VALUE || current - newest >= BUCKETS) {
            Arrays.fill(requests, 0);
            Arrays.fill(repeats, 0);
        } else {
            for (long passed = newest + 1; passed <= current; passed++) {
                requests[Math.floorMod(passed, BUCKETS)] = 0;
                repeats[Math.floorMod(passed, BUCKETS)] = 0;
            }
        }
        newest = Math.max(newest, current);
        return Math.floorMod(current, BUCKETS);
    }
}
