package org.siskinramp.ledger;

import java.util.function.IntSupplier;
import org.siskinramp.time.Clock;

/**
 * Limits the rate of transactions of this host to its share: the rate limit of all entry hosts
 * divided by their number.
 */
final class TransactionRateLimiter {

    private static final long MICROSECONDS_PER_SECOND = 1_000_000;
    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

    private final Clock clock;
    private final IntSupplier hostCount;
    private final int transactionsPerSecond;
    private final int burst;
    private long nextStartMicroseconds = Long.MIN_VALUE;

    TransactionRateLimiter(
            Clock clock, IntSupplier hostCount, int transactionsPerSecond, int burst) {
        this.clock = clock;
        this.hostCount = hostCount;
        this.transactionsPerSecond = transactionsPerSecond;
        this.burst = burst;
    }

    private long intervalMicroseconds() {
        return MICROSECONDS_PER_SECOND * Math.max(1, hostCount.getAsInt()) / transactionsPerSecond;
    }

    /**
     * Reserves the start of one transaction.
     *
     * @return the delay after which the transaction may start, in milliseconds
     */
    synchronized long reserve() {
        long now = clock.monotonicMilliseconds() * MICROSECONDS_PER_MILLISECOND;
        long interval = intervalMicroseconds();
        nextStartMicroseconds = Math.max(nextStartMicroseconds, now);
        long delay = Math.max(0, nextStartMicroseconds - interval * (burst - 1) - now);
        nextStartMicroseconds += interval;
        return (delay + MICROSECONDS_PER_MILLISECOND - 1) / MICROSECONDS_PER_MILLISECOND;
    }
}
