package org.siskinramp.attempt;

/**
 * Holds what a backend server says of itself in an answer or a probe. It may lag or mislead.
 *
 * @param bootIdentity an identifier that changes whenever the server starts anew, or an empty
 *     string if the server gave none
 * @param requestsInProgress how many requests it says it is running, or -1 if it did not say
 * @param leaving whether it says that it is draining or ill
 * @param requestsWaiting how many requests it says are waiting, or -1 if it did not say
 * @param pacePercent how long it says work takes now, where 100 is usual, or -1 if it did not say
 * @param coldMilliseconds how much longer it says that it is cold, or -1 if it did not say
 * @param departing whether it says that it ends soon and wants no new request until then
 * @param pauseMilliseconds for how long it wants no request, or -1 if it did not say
 */
public record LoadReport(
        String bootIdentity,
        int requestsInProgress,
        boolean leaving,
        int requestsWaiting,
        int pacePercent,
        long coldMilliseconds,
        boolean departing,
        long pauseMilliseconds) {

    /** Stands for a figure that the server did not tell. */
    public static final int UNKNOWN = -1;

    /** The report of a server that said nothing. */
    public static final LoadReport NONE = new LoadReport("", UNKNOWN, false);

    /**
     * Creates the report of a server that tells neither its queue, its pace nor whether it is cold.
     *
     * @param bootIdentity its boot identity, or an empty string
     * @param requestsInProgress how many requests it is running, or -1
     * @param leaving whether it is draining
     */
    public LoadReport(String bootIdentity, int requestsInProgress, boolean leaving) {
        this(bootIdentity, requestsInProgress, leaving, UNKNOWN, UNKNOWN, UNKNOWN);
    }

    /**
     * Creates the report of a server that wants requests as before.
     *
     * @param bootIdentity its boot identity, or an empty string
     * @param requestsInProgress how many requests it is running, or -1
     * @param leaving whether it is draining or ill
     * @param requestsWaiting how many requests are waiting, or -1
     * @param pacePercent how long work takes now, or -1
     * @param coldMilliseconds how much longer it is cold, or -1
     */
    public LoadReport(
            String bootIdentity,
            int requestsInProgress,
            boolean leaving,
            int requestsWaiting,
            int pacePercent,
            long coldMilliseconds) {
        this(
                bootIdentity,
                requestsInProgress,
                leaving,
                requestsWaiting,
                pacePercent,
                coldMilliseconds,
                false,
                UNKNOWN);
    }

    /**
     * Returns the same report with what the server wants.
     *
     * @param ends whether it ends soon and wants no new request
     * @param milliseconds for how long it wants no request, or -1
     * @return the report
     */
    public LoadReport withAnnouncement(boolean ends, long milliseconds) {
        return new LoadReport(
                bootIdentity,
                requestsInProgress,
                leaving,
                requestsWaiting,
                pacePercent,
                coldMilliseconds,
                ends,
                milliseconds);
    }

    /**
     * Tells whether the server told how many requests it is running.
     *
     * @return true if the load is known
     */
    public boolean tellsLoad() {
        return requestsInProgress >= 0;
    }
}
