package org.siskinramp.rollout;

/**
 * Counts the responses of one software version.
 *
 * @param responses all responses, including failed ones
 * @param failures responses that failed
 * @param timedResponses responses of warm servers, whose times can be compared
 * @param slowResponses those of them that took longer than the old version's 90th percentile
 */
public record ResponseCounts(
        long responses, long failures, long timedResponses, long slowResponses) {

    /** No responses. */
    public static final ResponseCounts NONE = new ResponseCounts(0, 0, 0, 0);

    /**
     * Adds other responses.
     *
     * @param other the other responses
     * @return all responses
     */
    public ResponseCounts plus(ResponseCounts other) {
        return new ResponseCounts(
                responses + other.responses,
                failures + other.failures,
                timedResponses + other.timedResponses,
                slowResponses + other.slowResponses);
    }

    /**
     * Leaves out earlier responses.
     *
     * @param earlier counts of an earlier time
     * @return the responses since then
     */
    public ResponseCounts minus(ResponseCounts earlier) {
        return new ResponseCounts(
                responses - earlier.responses,
                failures - earlier.failures,
                timedResponses - earlier.timedResponses,
                slowResponses - earlier.slowResponses);
    }
}
