package org.siskinramp.gateway;

import java.util.Arrays;

/**
 * Limits the retries of this host in proportion to its own requests in a sliding window, so that
 * the retries of all hosts together stay within one budget without exchanging messages. This
 * prevents retry storms: when many servers fail at once, retries must add no more than a fixed
 * share to the usual load, even while hosts restart repeatedly.
 *
 * <p>A retry is reserved when it is allowed and counted when it is sent, since it may wait for a
 * server in between.
 */
final class RetryBudget {

    private static final int BUCKETS_PER_WINDOW = 10;

    /** One more than a window holds: the bucket being filled covers less than its full time. */
    private static final int BUCKET_COUNT = BUCKETS_PER_WINDOW + 1;

    private final double retryRatio;
    private final long bucketMilliseconds;
    private final int[] requests = new int[BUCKET_COUNT];
    private final int[] retries = new int[BUCKET_COUNT];
    private int reserved;
    private long newestBucket = Long.MIN_VALUE / 2;

    RetryBudget(double retryRatio, long windowMilliseconds) {
        this.retryRatio = retryRatio;
        this.bucketMilliseconds = Math.max(1, windowMilliseconds / BUCKETS_PER_WINDOW);
    }

    /** Counts a request that arrived. */
    void countRequest(long now) {
        requests[advanceTo(now)]++;
    }

    /** Reserves a retry that is allowed but not yet sent. */
    void reserve() {
        reserved++;
    }

    /** Releases a reserved retry that is not sent. */
    void release() {
        reserved--;
    }

    /** Counts a reserved retry as sent. */
    void countRetry(long now) {
        reserved--;
        retries[advanceTo(now)]++;
    }

    /**
     * Tells whether the budget allows one more retry.
     *
     * @param now monotonic milliseconds
     * @param slack how many retries this host may send in a window in addition to the ratio
     */
    boolean allows(long now, double slack) {
        return retries(now) + 1 <= retryRatio * requests(now) + slack;
    }

    /**
     * Returns the requests in the window. Leaves out the oldest bucket, which may lie partly
     * outside of the window.
     */
    int requests(long now) {
        int oldest = (advanceTo(now) + 1) % BUCKET_COUNT;
        return Arrays.stream(requests).sum() - requests[oldest];
    }

    /** Returns the retries in the window, including reserved ones that are not yet sent. */
    int retries(long now) {
        advanceTo(now);
        return Arrays.stream(retries).sum() + reserved;
    }

    private int advanceTo(long now) {
        long current = Math.max(newestBucket, Math.floorDiv(now, bucketMilliseconds));
        long first = Math.max(newestBucket + 1, current - BUCKETS_PER_WINDOW);
        for (long bucket = first; bucket <= current; bucket++) {
            requests[Math.floorMod(bucket, BUCKET_COUNT)] = 0;
            retries[Math.floorMod(bucket, BUCKET_COUNT)] = 0;
        }
        newestBucket = current;
        return Math.floorMod(current, BUCKET_COUNT);
    }
}
