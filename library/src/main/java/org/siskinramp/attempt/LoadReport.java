package org.siskinramp.attempt;

/**
 * Holds the state that a backend server reports in an answer or a probe. A report may be stale or
 * wrong.
 *
 * @param bootIdentity an identifier that changes whenever the server restarts, or an empty string
 *     if it was not reported
 * @param requestsInProgress how many requests are running on the server, or -1 if not reported
 * @param leaving whether the server is draining or unhealthy
 * @param requestsWaiting how many requests are waiting on the server, or -1 if not reported
 * @param serviceTimePercent the service time in percent of the usual one, or -1 if not reported
 * @param remainingWarmUpMilliseconds the remaining warm-up time, or -1 if not reported
 * @param departing whether the server announces its shutdown and must get no new requests
 * @param pauseMilliseconds how long the server must get no requests, or -1 if it asks for no pause
 * @param rateLimitPerSecond how many requests per second the server accepts from all hosts
 *     together, infinite if it announces no limit, or NaN if that is unknown
 */
public record LoadReport(
        String bootIdentity,
        int requestsInProgress,
        boolean leaving,
        int requestsWaiting,
        int serviceTimePercent,
        long remainingWarmUpMilliseconds,
        boolean departing,
        long pauseMilliseconds,
        double rateLimitPerSecond) {

    /** The value of a number that the server did not report. */
    public static final int UNKNOWN = -1;

    /** The rate limit of a server that announces none. */
    public static final double NO_RATE_LIMIT = Double.POSITIVE_INFINITY;

    /** The rate limit if there was no answer, or if it could not be read. */
    public static final double UNKNOWN_RATE_LIMIT = Double.NaN;

    /** The report of a server that reported nothing. */
    public static final LoadReport NONE = new LoadReport("", UNKNOWN, false);

    /**
     * Creates a report without queue length, service time and warm-up time.
     *
     * @param bootIdentity the boot identity, or an empty string
     * @param requestsInProgress how many requests are running on the server, or -1
     * @param leaving whether the server is draining or unhealthy
     */
    public LoadReport(String bootIdentity, int requestsInProgress, boolean leaving) {
        this(bootIdentity, requestsInProgress, leaving, UNKNOWN, UNKNOWN, UNKNOWN);
    }

    /**
     * Creates a report that announces neither a shutdown nor a pause, with an unknown rate limit.
     *
     * @param bootIdentity the boot identity, or an empty string
     * @param requestsInProgress how many requests are running on the server, or -1
     * @param leaving whether the server is draining or unhealthy
     * @param requestsWaiting how many requests are waiting on the server, or -1
     * @param serviceTimePercent the service time in percent of the usual one, or -1
     * @param remainingWarmUpMilliseconds the remaining warm-up time, or -1
     */
    public LoadReport(
            String bootIdentity,
            int requestsInProgress,
            boolean leaving,
            int requestsWaiting,
            int serviceTimePercent,
            long remainingWarmUpMilliseconds) {
        this(
                bootIdentity,
                requestsInProgress,
                leaving,
                requestsWaiting,
                serviceTimePercent,
                remainingWarmUpMilliseconds,
                false,
                UNKNOWN,
                UNKNOWN_RATE_LIMIT);
    }

    /**
     * Returns the same report with the announcement of a shutdown or a pause.
     *
     * @param isDeparting whether the server announces its shutdown
     * @param milliseconds how long the server must get no requests, or -1
     * @return the report
     */
    public LoadReport withAnnouncement(boolean isDeparting, long milliseconds) {
        return new LoadReport(
                bootIdentity,
                requestsInProgress,
                leaving,
                requestsWaiting,
                serviceTimePercent,
                remainingWarmUpMilliseconds,
                isDeparting,
                milliseconds,
                rateLimitPerSecond);
    }

    /**
     * Returns the same report with a rate limit.
     *
     * @param requestsPerSecond the limit, infinite for none, or NaN if it is unknown
     * @return the report
     */
    public LoadReport withRateLimit(double requestsPerSecond) {
        return new LoadReport(
                bootIdentity,
                requestsInProgress,
                leaving,
                requestsWaiting,
                serviceTimePercent,
                remainingWarmUpMilliseconds,
                departing,
                pauseMilliseconds,
                requestsPerSecond);
    }

    /**
     * Tells whether the server announces a rate limit.
     *
     * @return false if it announces none, or if that is unknown
     */
    public boolean announcesRateLimit() {
        return rateLimitPerSecond < NO_RATE_LIMIT;
    }

    /**
     * Tells whether the answer certainly announces no rate limit.
     *
     * @return false if it announces one, or if that is unknown
     */
    public boolean announcesNoRateLimit() {
        return rateLimitPerSecond == NO_RATE_LIMIT;
    }

    /**
     * Tells whether the report holds the number of running requests.
     *
     * @return true if the load is known
     */
    public boolean hasLoad() {
        return requestsInProgress >= 0;
    }
}
