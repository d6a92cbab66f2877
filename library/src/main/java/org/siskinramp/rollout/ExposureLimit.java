package org.siskinramp.rollout;

/**
 * Limits how many requests a target gets before it is shown to be good. A bad version may get a
 * tenth of the requests between its order and its deadline, plus 50; these limits stay below that,
 * since counts arrive up to a second late.
 */
public final class ExposureLimit {

    private static final double SAMPLING_SHARE = 0.08;
    private static final double SAMPLING_SLACK = 25;
    private static final double TOTAL_SHARE = 0.092;
    private static final double TOTAL_SLACK = 40;

    private ExposureLimit() {}

    /**
     * Tells whether the target may get further sampled requests.
     *
     * @param exposed the requests that the target got
     * @param requests all requests since the order
     * @return false once the limit for sampling is reached
     */
    public static boolean allowsSampling(long exposed, long requests) {
        return exposed < SAMPLING_SHARE * requests + SAMPLING_SLACK;
    }

    /**
     * Returns how long before the deadline all requests may move to the target, so that the limit
     * holds until the deadline even if the verdict is wrong or the version becomes bad later.
     *
     * @param exposed the requests that the target got
     * @param requests all requests since the order
     * @param ageMilliseconds the time since the order
     * @param durationMilliseconds the time from the order to its deadline
     * @return milliseconds
     */
    public static double moveMilliseconds(
            long exposed, long requests, long ageMilliseconds, long durationMilliseconds) {
        double requestsPerMillisecond = (double) requests / Math.max(1, ageMilliseconds);
        double expectedRequests = requestsPerMillisecond * durationMilliseconds;
        double allowance = TOTAL_SHARE * expectedRequests + TOTAL_SLACK - exposed;
        return requestsPerMillisecond == 0
                ? durationMilliseconds
                : Math.max(0, allowance) / requestsPerMillisecond;
    }
}
