package org.siskinramp.time;

/**
 * Tells the time in milliseconds.
 *
 * <p>Every decision takes its time from this type, so that the same code runs under a virtual clock
 * in tests and under the real clock in production.
 *
 * <pre>{@code
 * long deadline = clock.monotonicMilliseconds() + timeLimitMilliseconds;
 * }</pre>
 */
public interface Clock {

    /**
     * Returns the time since an arbitrary origin. It never runs backwards and is not comparable
     * between hosts.
     *
     * @return monotonic time in milliseconds
     */
    long monotonicMilliseconds();

    /**
     * Returns the calendar time, which may step in either direction. Use it only for records that
     * people read, never for a lease or a timeout.
     *
     * @return milliseconds since 1970-01-01T00:00:00Z
     */
    long calendarMilliseconds();
}
