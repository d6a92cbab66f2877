package org.siskinramp.follow;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.siskinramp.log.EventLog;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Builds a follower.
 *
 * @param <T> the type of an item
 */
public final class ChangeFollowerBuilder<T> {

    private final String name;
    private final ChangeSource<T> source;
    private final Consumer<Changes<T>> listener;
    private LongSupplier intervalMilliseconds = () -> 1_000;
    private LongSupplier waitMilliseconds = () -> 0;
    private Clock clock;
    private Scheduler scheduler;
    private EventLog eventLog;

    ChangeFollowerBuilder(String name, ChangeSource<T> source, Consumer<Changes<T>> listener) {
        this.name = name;
        this.source = source;
        this.listener = listener;
    }

    /**
     * Sets the minimum interval between the starts of two calls.
     *
     * @param value returns the interval in milliseconds, evaluated for each call
     * @return this builder
     */
    public ChangeFollowerBuilder<T> intervalMilliseconds(LongSupplier value) {
        intervalMilliseconds = value;
        return this;
    }

    /**
     * Sets how long the store waits for the first change before it answers a call.
     *
     * @param value returns milliseconds, evaluated for each call; 0 for an answer at once
     * @return this builder
     */
    public ChangeFollowerBuilder<T> waitMilliseconds(LongSupplier value) {
        waitMilliseconds = value;
        return this;
    }

    /**
     * Sets the clock.
     *
     * @param value the clock
     * @return this builder
     */
    public ChangeFollowerBuilder<T> clock(Clock value) {
        clock = value;
        return this;
    }

    /**
     * Sets the scheduler.
     *
     * @param value runs delayed calls
     * @return this builder
     */
    public ChangeFollowerBuilder<T> scheduler(Scheduler value) {
        scheduler = value;
        return this;
    }

    /**
     * Sets the event log.
     *
     * @param value records when the store fails and recovers
     * @return this builder
     */
    public ChangeFollowerBuilder<T> eventLog(EventLog value) {
        eventLog = value;
        return this;
    }

    /**
     * Builds the follower.
     *
     * @return the follower, which must be started
     */
    public ChangeFollower<T> build() {
        return new ChangeFollower<>(
                name,
                source,
                listener,
                intervalMilliseconds,
                waitMilliseconds,
                clock,
                scheduler,
                eventLog);
    }
}
