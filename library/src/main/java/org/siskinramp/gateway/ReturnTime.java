package org.siskinramp.gateway;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when a refused caller should come again: when a place is expected, spread so that callers
 * who were refused together do not return together.
 */
final class ReturnTime {

    /** Below this a caller would meet the same queue again. */
    private static final long SHORTEST_MILLISECONDS = 100;

    /** Above this most callers have given up. */
    private static final long LONGEST_MILLISECONDS = 2_000;

    private ReturnTime() {}

    static long milliseconds(long expectedWaitMilliseconds, UniformRandomProvider random) {
        long base = Math.max(SHORTEST_MILLISECONDS, expectedWaitMilliseconds);
        return Math.min(LONGEST_MILLISECONDS, base + random.nextLong(base + 1));
    }
}
