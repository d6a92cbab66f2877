package org.siskinramp.gateway;

/**
 * Schedules the returns of refused callers while all servers of a service are rate limited, so that
 * callers return no faster than their requests can be sent.
 */
final class ReturnSchedule {

    /** Few callers still want an answer after a longer delay. */
    private static final long MAXIMUM_DELAY_MILLISECONDS = 10_000;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private long lastReturnAt;

    /**
     * Schedules the return of one more caller.
     *
     * @param waitMilliseconds how long a request would wait now
     * @param requestsPerSecond the rate at which requests can be sent
     * @param now monotonic milliseconds
     * @return the delay after which the caller should return, in milliseconds
     */
    long addReturn(long waitMilliseconds, double requestsPerSecond, long now) {
        long intervalMilliseconds = Math.round(MILLISECONDS_PER_SECOND / requestsPerSecond);
        long earliest = Math.max(now + waitMilliseconds, lastReturnAt + intervalMilliseconds);
        lastReturnAt = Math.min(earliest, now + MAXIMUM_DELAY_MILLISECONDS);
        return lastReturnAt - now;
    }
}
