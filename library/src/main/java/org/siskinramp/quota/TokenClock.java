package org.siskinramp.quota;

import org.siskinramp.time.Clock;

/**
 * Measures the age of tokens. The monotonic clock does not count the time for which a host was
 * frozen, so a host that held tokens before would use them beyond their age, in addition to those
 * that other hosts minted meanwhile. This clock adds time that only the calendar counted, and time
 * that a message of another host proves. Thread-safe.
 */
public final class TokenClock {

    /** The two clocks are not read at the same instant. */
    private static final long TOLERANCE_MILLISECONDS = 20;

    private final Clock clock;
    private long calendarOffsetMilliseconds;
    private long frozenMilliseconds;

    /**
     * Creates a clock.
     *
     * @param clock provides the monotonic and the calendar time
     */
    public TokenClock(Clock clock) {
        this.clock = clock;
        calendarOffsetMilliseconds = calendarOffset();
    }

    private long calendarOffset() {
        return clock.calendarMilliseconds() - clock.monotonicMilliseconds();
    }

    /**
     * Returns the time by which tokens age. It runs at least as fast as the monotonic clock.
     *
     * @return milliseconds since an arbitrary origin
     */
    public synchronized long milliseconds() {
        long offset = calendarOffset();
        long uncounted = offset - calendarOffsetMilliseconds;
        if (uncounted > TOLERANCE_MILLISECONDS) {
            frozenMilliseconds += uncounted;
            calendarOffsetMilliseconds = offset;
        } else if (uncounted < 0) {
            calendarOffsetMilliseconds = offset;
        }
        return clock.monotonicMilliseconds() + frozenMilliseconds;
    }

    /**
     * Returns the time in which a host mints tokens, without the time for which it was frozen.
     *
     * @return monotonic milliseconds
     */
    public long monotonicMilliseconds() {
        return clock.monotonicMilliseconds();
    }

    /**
     * Adds time that neither clock of this host counted.
     *
     * @param milliseconds the least time for which this host was frozen
     */
    public synchronized void addFrozen(long milliseconds) {
        frozenMilliseconds += milliseconds;
    }
}
