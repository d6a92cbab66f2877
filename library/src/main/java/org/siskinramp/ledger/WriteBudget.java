package org.siskinramp.ledger;

import org.siskinramp.time.Clock;

/** Spreads transactions over time, so that a host stays within its share of the platform. */
final class WriteBudget {

    private static final long MICROSECONDS_PER_SECOND = 1_000_000;
    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

    private final Clock clock;
    private final long intervalMicroseconds;
    private final long burstMicroseconds;
    private long nextMicroseconds = Long.MIN_VALUE;

    WriteBudget(Clock clock, int transactionsPerSecond, int burst) {
        this.clock = clock;
        this.intervalMicroseconds = MICROSECONDS_PER_SECOND / transactionsPerSecond;
        this.burstMicroseconds = intervalMicroseconds * (burst - 1);
    }

    /**
     * Books one transaction.
     *
     * @return in how many milliseconds it may start
     */
    synchronized long book() {
        long now = clock.monotonicMilliseconds() * MICROSECONDS_PER_MILLISECOND;
        nextMicroseconds = Math.max(nextMicroseconds, now);
        long delay = Math.max(0, nextMicroseconds - burstMicroseconds - now);
        nextMicroseconds += intervalMicroseconds;
        return (delay + MICROSECONDS_PER_MILLISECOND - 1) / MICROSECONDS_PER_MILLISECOND;
    }
}
