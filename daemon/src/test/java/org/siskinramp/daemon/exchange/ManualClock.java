package org.siskinramp.daemon.exchange;

import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.time.Clock;

/** A clock that advances only when a test moves it. */
public final class ManualClock implements Clock {

    private final AtomicLong milliseconds = new AtomicLong(1_000_000);

    /** Moves the time forward. */
    public void advance(long amount) {
        milliseconds.addAndGet(amount);
    }

    @Override
    public long monotonicMilliseconds() {
        return milliseconds.get();
    }

    @Override
    public long calendarMilliseconds() {
        return milliseconds.get();
    }
}
