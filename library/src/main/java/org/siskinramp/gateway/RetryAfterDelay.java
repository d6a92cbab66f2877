package org.siskinramp.gateway;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Computes the delay after which a refused caller should retry: the expected wait plus jitter, so
 * that callers refused together do not retry together.
 */
final class RetryAfterDelay {

    /** A caller that retries sooner would find the same queue. */
    private static final long MINIMUM_MILLISECONDS = 100;

    /** Most callers give up before a longer delay has passed. */
    private static final long MAXIMUM_MILLISECONDS = 2_000;

    private RetryAfterDelay() {}

    static long milliseconds(long expectedWaitMilliseconds, UniformRandomProvider random) {
        long base = Math.max(MINIMUM_MILLISECONDS, expectedWaitMilliseconds);
        return Math.min(MAXIMUM_MILLISECONDS, base + random.nextLong(base + 1));
    }
}
