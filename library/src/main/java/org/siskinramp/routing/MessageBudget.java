package org.siskinramp.routing;

import org.siskinramp.time.Clock;

/** Limits the messages that an entry host sends per second, over all services. */
public final class MessageBudget {

    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long BURST_MILLISECONDS = 200;

    private final Clock clock;
    private final int messagesPerSecond;
    private long available;
    private long filledAt;

    /**
     * Creates a full budget.
     *
     * @param clock the clock
     * @param messagesPerSecond the limit; 0 allows nothing
     */
    public MessageBudget(Clock clock, int messagesPerSecond) {
        this.clock = clock;
        this.messagesPerSecond = messagesPerSecond;
        this.available = capacity();
        this.filledAt = clock.monotonicMilliseconds();
    }

    private long capacity() {
        return messagesPerSecond * BURST_MILLISECONDS;
    }

    /**
     * Takes one message out of the budget.
     *
     * @return false if the budget is used up for now
     */
    synchronized boolean spend() {
        long now = clock.monotonicMilliseconds();
        available = Math.min(capacity(), available + (now - filledAt) * messagesPerSecond);
        filledAt = now;
        if (available < MILLISECONDS_PER_SECOND) {
            return false;
        }
        available -= MILLISECONDS_PER_SECOND;
        return true;
    }
}
