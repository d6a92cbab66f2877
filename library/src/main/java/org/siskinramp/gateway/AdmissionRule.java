package org.siskinramp.gateway;

/**
 * Decides how long a request may wait. Answers more work than all servers bear: a request that
 * cannot be answered within its objective any more is turned away at once, so that the slots go to
 * those that can, and its caller learns early to try elsewhere.
 */
final class AdmissionRule {

    /** The part of the objective that is always left to find a server, however long work takes. */
    private static final long LEAST_PATIENCE_PART = 8;

    private AdmissionRule() {}

    /**
     * Returns when a request must start at the latest to be answered within its objective.
     *
     * @param arrived when it arrived, in monotonic milliseconds
     * @param objectiveMilliseconds its objective
     * @param workMilliseconds how long such work takes, at the quantile that is to end in time
     * @return monotonic milliseconds
     */
    static long latestStart(long arrived, long objectiveMilliseconds, long workMilliseconds) {
        return arrived
                + Math.max(
                        objectiveMilliseconds / LEAST_PATIENCE_PART,
                        objectiveMilliseconds - workMilliseconds);
    }

    /**
     * Tells whether a request that would wait for others is turned away at once.
     *
     * @param now monotonic milliseconds
     * @param expectedWaitMilliseconds how long it would wait
     * @param latestStart when it must start, in monotonic milliseconds
     * @return true if it would start too late
     */
    static boolean comesTooLate(long now, long expectedWaitMilliseconds, long latestStart) {
        return now + expectedWaitMilliseconds > latestStart;
    }
}
