package org.siskinramp.daemon.peer;

import java.util.SplittableRandom;

/** Doubles the delay between attempts to open a link, with a random part. */
final class Backoff {

    static final long FIRST_MILLISECONDS = 100;
    static final long GREATEST_MILLISECONDS = 1000;

    private final SplittableRandom random;
    private long nextMilliseconds = FIRST_MILLISECONDS;

    Backoff(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Returns a delay between half of the present step and the whole step, and doubles the step.
     */
    long next() {
        long step = nextMilliseconds;
        nextMilliseconds = Math.min(GREATEST_MILLISECONDS, 2 * step);
        return step / 2 + random.nextLong(step / 2 + 1);
    }

    void reset() {
        nextMilliseconds = FIRST_MILLISECONDS;
    }
}
