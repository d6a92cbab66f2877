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

    /** Of the latency objective, so that the caller can still be answered in time. */
    private static final long OBJECTIVE_DIVISOR = 16;

    private RetryAfterDelay() {}

    /**
     * Computes the delay of a request that servers with free slots refused. Nothing is gained by
     * waiting, since no other request has to end first; jitter alone spreads the callers.
     */
    static long whileServersHaveRoom(
            long latencyObjectiveMilliseconds, UniformRandomProvider random) {
        long base =
                Math.max(
                        1,
                        Math.min(
                                MINIMUM_MILLISECONDS,
                                latencyObjectiveMilliseconds / OBJECTIVE_DIVISOR));
        return base + random.nextLong(base + 1);
    }

    static long milliseconds(long expectedWaitMilliseconds, UniformRandomProvider random) {
        long base = Math.max(MINIMUM_MILLISECONDS, expectedWaitMilliseconds);
        return Math.min(MAXIMUM_MILLISECONDS, base + random.nextLong(base + 1));
    }
}
