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
 */
public record LoadReport(
        String bootIdentity,
        int requestsInProgress,
        boolean leaving,
        int requestsWaiting,
        int serviceTimePercent,
        long remainingWarmUpMilliseconds,
        boolean departing,
        long pauseMilliseconds) {

    /** The value of a number that the server did not report. */
    public static final int UNKNOWN = -1;

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
     * Creates a report that announces neither a shutdown nor a pause.
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
                UNKNOWN);
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
                milliseconds);
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
