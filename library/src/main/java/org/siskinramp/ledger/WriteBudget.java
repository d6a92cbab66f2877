package org.siskinramp.ledger;

import java.util.function.IntSupplier;
import org.siskinramp.time.Clock;

/**
 * Spreads transactions over time, so that a host stays within its share of the platform. The share
 * is the budget of all entry hosts divided by their number.
 */
final class WriteBudget {

    private static final long MICROSECONDS_PER_SECOND = 1_000_000;
    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

    private final Clock clock;
    private final IntSupplier hosts;
    private final int transactionsPerSecond;
    private final int burst;
    private long nextMicroseconds = Long.MIN_VALUE;

    WriteBudget(Clock clock, IntSupplier hosts, int transactionsPerSecond, int burst) {
        this.clock = clock;
        this.hosts = hosts;
        this.transactionsPerSecond = transactionsPerSecond;
        this.burst = burst;
    }

    private long intervalMicroseconds() {
        return MICROSECONDS_PER_SECOND * Math.max(1, hosts.getAsInt()) / transactionsPerSecond;
    }

    /**
     * Books one transaction.
     *
     * @return in how many milliseconds it may start
     */
    synchronized long book() {
        long now = clock.monotonicMilliseconds() * MICROSECONDS_PER_MILLISECOND;
        long interval = intervalMicroseconds();
        nextMicroseconds = Math.max(nextMicroseconds, now);
        long delay = Math.max(0, nextMicroseconds - interval * (burst - 1) - now);
        nextMicroseconds += interval;
        return (delay + MICROSECONDS_PER_MILLISECOND - 1) / MICROSECONDS_PER_MILLISECOND;
    }
}
