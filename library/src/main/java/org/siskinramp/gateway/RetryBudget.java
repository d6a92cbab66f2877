package org.siskinramp.gateway;

import java.util.Arrays;

/**
 * Bounds the repeats of this host by its own requests in a sliding window, so that the repeats of
 * all hosts together stay within one budget without a message between them. Answers a retry storm:
 * many servers that fail at once must not be sent more than a share of the usual load on top, also
 * while hosts start again and again.
 *
 * <p>A repeat is reserved when it is allowed and counted when it is sent, since it may wait for a
 * server in between.
 */
final class RetryBudget {

    /** Buckets of a window. */
    private static final int BUCKETS = 10;

    /** The bucket that is being filled comes on top, so that the others span a whole window. */
    private static final int BUCKETS_KEPT = BUCKETS + 1;

    private final double share;
    private final long bucketMilliseconds;
    private final int[] requests = new int[BUCKETS_KEPT];
    private final int[] repeats = new int[BUCKETS_KEPT];
    private int reserved;
    private long newest = Long.MIN_VALUE / 2;

    RetryBudget(double share, long windowMilliseconds) {
        this.share = share;
        this.bucketMilliseconds = Math.max(1, windowMilliseconds / BUCKETS);
    }

    /** Counts a request that arrived. */
    void countRequest(long now) {
        requests[bucket(now)]++;
    }

    /** Sets a repeat aside that is allowed and not sent yet. */
    void reserve() {
        reserved++;
    }

    /** Gives a repeat back that was not sent. */
    void release() {
        reserved--;
    }

    /** Counts a repeat that was reserved and is sent. */
    void countRepeat(long now) {
        reserved--;
        repeats[bucket(now)]++;
    }

    /**
     * Tells whether one more repeat fits.
     *
     * @param slack how many repeats this host may send in a window beyond the share
     */
    boolean allows(long now, double slack) {
        return repeats(now) + 1 <= share * requests(now) + slack;
    }

    /** Returns the requests that count now. The oldest bucket may lie outside of the window. */
    int requests(long now) {
        int oldest = (bucket(now) + 1) % BUCKETS_KEPT;
        return Arrays.stream(requests).sum() - requests[oldest];
    }

    /** Returns the repeats that count now, those included that are not sent yet. */
    int repeats(long now) {
        bucket(now);
        return Arrays.stream(repeats).sum() + reserved;
    }

    private int bucket(long now) {
        long current = Math.max(newest, Math.floorDiv(now, bucketMilliseconds));
        long first = Math.max(newest + 1, current - BUCKETS);
        for (long passed = first; passed <= current; passed++) {
            requests[Math.floorMod(passed, BUCKETS_KEPT)] = 0;
            repeats[Math.floorMod(passed, BUCKETS_KEPT)] = 0;
        }
        newest = current;
        return Math.floorMod(current, BUCKETS_KEPT);
    }
}
