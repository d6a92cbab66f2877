package org.siskinramp.routing;

import org.siskinramp.time.Clock;

/**
 * Limits the rate of the messages that an entry host sends, over all services. It is a token bucket
 * that counts in thousandths of a message, and is thread-safe.
 */
public final class MessageRateLimiter {

    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long BURST_MILLISECONDS = 200;

    private final Clock clock;
    private final int messagesPerSecond;
    private long availableThousandths;
    private long refilledAt;

    /**
     * Creates a limiter with a full bucket.
     *
     * @param clock the clock
     * @param messagesPerSecond the limit; 0 allows nothing
     */
    public MessageRateLimiter(Clock clock, int messagesPerSecond) {
        this.clock = clock;
        this.messagesPerSecond = messagesPerSecond;
        this.availableThousandths = capacityThousandths();
        this.refilledAt = clock.monotonicMilliseconds();
    }

    private long capacityThousandths() {
        return messagesPerSecond * BURST_MILLISECONDS;
    }

    /**
     * Tries to take the token for one message.
     *
     * @return false if the message must not be sent now
     */
    synchronized boolean tryAcquire() {
        long now = clock.monotonicMilliseconds();
        availableThousandths =
                Math.min(
                        capacityThousandths(),
                        availableThousandths + (now - refilledAt) * messagesPerSecond);
        refilledAt = now;
        if (availableThousandths < MILLISECONDS_PER_SECOND) {
            return false;
        }
        availableThousandths -= MILLISECONDS_PER_SECOND;
        return true;
    }
}
