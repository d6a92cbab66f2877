package org.siskinramp.standin.platform;

import org.siskinramp.time.Clock;

/** Admits up to a number of operations per window of one second. */
final class RateLimit {

    private static final long WINDOW_MILLISECONDS = 1000;

    private final Clock clock;
    private final int operationsPerSecond;
    private long windowStartMilliseconds;
    private int operationsInWindow;

    /** Creates a limit; zero operations per second stands for no limit. */
    RateLimit(Clock clock, int operationsPerSecond) {
        this.clock = clock;
        this.operationsPerSecond = operationsPerSecond;
        this.windowStartMilliseconds = clock.monotonicMilliseconds();
    }

    /** Counts one operation and tells whether it is within the limit. */
    synchronized boolean tryTake() {
        long now = clock.monotonicMilliseconds();
        if (now - windowStartMilliseconds >= WINDOW_MILLISECONDS) {
            windowStartMilliseconds = now;
            operationsInWindow = 0;
        }
        operationsInWindow++;
        return operationsPerSecond == 0 || operationsInWindow <= operationsPerSecond;
    }
}
