package org.siskinramp.ledger;

import org.siskinramp.time.Clock;

/** Refuses claims at once while the platform fails, but for one trial in each interval. */
final class Circuit {

    private final Clock clock;
    private final int failureLimit;
    private final long intervalMilliseconds;
    private int failures;
    private long nextTrialMilliseconds;

    Circuit(Clock clock, int failureLimit, long intervalMilliseconds) {
        this.clock = clock;
        this.failureLimit = failureLimit;
        this.intervalMilliseconds = intervalMilliseconds;
    }

    /**
     * Asks to use the platform; an open circuit admits one trial an interval.
     *
     * @return whether the platform may be tried
     */
    synchronized boolean admit() {
        if (!isOpen()) {
            return true;
        }
        long now = clock.monotonicMilliseconds();
        if (now < nextTrialMilliseconds) {
            return false;
        }
        nextTrialMilliseconds = now + intervalMilliseconds;
        return true;
    }

    synchronized boolean isOpen() {
        return failures >= failureLimit;
    }

    synchronized long retryAfterMilliseconds() {
        return Math.max(
                intervalMilliseconds, nextTrialMilliseconds - clock.monotonicMilliseconds());
    }

    synchronized void succeeded() {
        failures = 0;
    }

    synchronized void failed() {
        failures++;
        nextTrialMilliseconds = clock.monotonicMilliseconds() + intervalMilliseconds;
    }
}
