package org.siskinramp.log;

/** Receives the times and the ends of requests, for metrics. */
public interface RequestMeasures {

    /** Measures nothing. */
    RequestMeasures NONE =
            new RequestMeasures() {
                @Override
                public void took(RequestTime time, boolean idempotent, long milliseconds) {
                    // Nothing is kept.
                }

                @Override
                public void ended(String outcome, int resultCode, String reason) {
                    // Nothing is kept.
                }
            };

    /**
     * Takes a time of a request.
     *
     * @param time which time
     * @param idempotent whether the request may run more than once
     * @param milliseconds how long it took
     */
    void took(RequestTime time, boolean idempotent, long milliseconds);

    /**
     * Counts the end of a request.
     *
     * @param outcome the name of its last event, such as {@code request_refused}
     * @param resultCode the number of its result
     * @param reason why it ended so, one of a few words
     */
    void ended(String outcome, int resultCode, String reason);
}
