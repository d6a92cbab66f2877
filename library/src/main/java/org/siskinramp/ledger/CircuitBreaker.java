package org.siskinramp.ledger;

import org.siskinramp.time.Clock;

/**
 * Opens after consecutive failed calls to the platform. While it is open, claims are refused at
 * once, except for one trial per interval.
 */
final class CircuitBreaker {

    private final Clock clock;
    private final int failureLimit;
    private final long trialIntervalMilliseconds;
    private int consecutiveFailures;
    private long nextTrialMilliseconds;

    CircuitBreaker(Clock clock, int failureLimit, long trialIntervalMilliseconds) {
        this.clock = clock;
        this.failureLimit = failureLimit;
        this.trialIntervalMilliseconds = trialIntervalMilliseconds;
    }

    /**
     * Asks for permission to call the platform. While the circuit breaker is open, it admits one
     * trial per interval.
     *
     * @return whether the platform may be called
     */
    synchronized boolean admit() {
        if (!isOpen()) {
            return true;
        }
        long now = clock.monotonicMilliseconds();
        if (now < nextTrialMilliseconds) {
            return false;
        }
        nextTrialMilliseconds = now + trialIntervalMilliseconds;
        return true;
    }

    synchronized boolean isOpen() {
        return consecutiveFailures >= failureLimit;
    }

    synchronized long retryAfterMilliseconds() {
        return Math.max(
                trialIntervalMilliseconds, nextTrialMilliseconds - clock.monotonicMilliseconds());
    }

    synchronized void recordSuccess() {
        consecutiveFailures = 0;
    }

    synchronized void recordFailure() {
        consecutiveFailures++;
        nextTrialMilliseconds = clock.monotonicMilliseconds() + trialIntervalMilliseconds;
    }
}
