package org.siskinramp.time;

import java.util.concurrent.TimeUnit;

/** Reads the clocks of the operating system. */
public final class SystemClock implements Clock {

    @Override
    public long monotonicMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long calendarMilliseconds() {
        return System.currentTimeMillis();
    }
}
