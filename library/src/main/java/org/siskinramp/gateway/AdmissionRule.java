package org.siskinramp.gateway;

/**
 * Decides how long a request may wait. Under overload, a request that can no longer be answered
 * within its objective is refused at once, so that the slots go to requests that can, and its
 * caller can try elsewhere early.
 */
final class AdmissionRule {

    /** One part in this many of the objective is always left for finding a server. */
    private static final long MINIMUM_WAIT_DIVISOR = 8;

    private AdmissionRule() {}

    /**
     * Returns when a request must start at the latest to be answered within its objective.
     *
     * @param arrivedMilliseconds when the request arrived, in monotonic milliseconds
     * @param latencyObjectiveMilliseconds the latency objective of its route
     * @param serviceTimeMilliseconds how long such requests take, at the quantile that must meet
     *     the objective
     * @return monotonic milliseconds
     */
    static long latestStart(
            long arrivedMilliseconds,
            long latencyObjectiveMilliseconds,
            long serviceTimeMilliseconds) {
        return arrivedMilliseconds
                + Math.max(
                        latencyObjectiveMilliseconds / MINIMUM_WAIT_DIVISOR,
                        latencyObjectiveMilliseconds - serviceTimeMilliseconds);
    }

    /**
     * Tells whether a request must be refused because it would start too late.
     *
     * @param now monotonic milliseconds
     * @param expectedWaitMilliseconds how long the request is expected to wait in the queue
     * @param latestStart when it must start at the latest, in monotonic milliseconds
     * @return true if it would start after the latest start
     */
    static boolean startsTooLate(long now, long expectedWaitMilliseconds, long latestStart) {
        return now + expectedWaitMilliseconds > latestStart;
    }
}
