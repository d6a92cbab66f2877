package org.siskinramp.daemon.peer;

import java.util.SplittableRandom;

/** Exponential backoff with jitter for attempts to open a link. */
final class Backoff {

    static final long INITIAL_DELAY_MILLISECONDS = 100;
    static final long MAXIMUM_DELAY_MILLISECONDS = 1000;

    private final SplittableRandom random;
    private long stepMilliseconds = INITIAL_DELAY_MILLISECONDS;

    Backoff(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Returns a random delay between half of the current step and the full step, and doubles the
     * step up to the maximum.
     */
    long nextDelayMilliseconds() {
        long step = stepMilliseconds;
        stepMilliseconds = Math.min(MAXIMUM_DELAY_MILLISECONDS, 2 * step);
        return step / 2 + random.nextLong(step / 2 + 1);
    }

    void reset() {
        stepMilliseconds = INITIAL_DELAY_MILLISECONDS;
    }
}
