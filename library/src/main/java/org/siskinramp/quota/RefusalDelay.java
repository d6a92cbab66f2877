package org.siskinramp.quota;

/** Computes when a refused request should be sent again: at the next token, with jitter. */
final class RefusalDelay {

    /** A caller that retries sooner would meet the same shortage. */
    private static final long MINIMUM_MILLISECONDS = 50;

    /** Most callers give up before a longer delay has passed. */
    private static final long MAXIMUM_MILLISECONDS = 2_000;

    static final int JITTER_BOUND_PERMILLE = 1_000;

    private RefusalDelay() {}

    static long milliseconds(double expectedMilliseconds, long jitterPermille) {
        double base =
                Math.min(
                        MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, expectedMilliseconds));
        return Math.round(base * (1 + (double) jitterPermille / JITTER_BOUND_PERMILLE));
    }
}
