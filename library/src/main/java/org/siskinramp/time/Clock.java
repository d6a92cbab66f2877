package org.siskinramp.time;

/**
 * Provides the time in milliseconds.
 *
 * <p>All code of the library reads the time from this interface, so that it runs with a virtual
 * clock in tests and with the system clock in production.
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
     * Returns the calendar time, which may jump in either direction. Use it only for records that
     * are shown to people, never for a lease or a timeout.
     *
     * @return milliseconds since 1970-01-01T00:00:00Z
     */
    long calendarMilliseconds();
}
