package org.siskinramp.log;

/** Receives the durations and the outcomes of requests, for metrics. */
public interface RequestMeasures {

    /** Discards all values. */
    RequestMeasures NONE =
            new RequestMeasures() {
                @Override
                public void took(RequestTime duration, boolean idempotent, long milliseconds) {
                    // Discarded.
                }

                @Override
                public void ended(String outcome, int resultCode, String reason) {
                    // Discarded.
                }
            };

    /**
     * Records a duration of a request.
     *
     * @param duration which duration
     * @param idempotent whether the request may run more than once
     * @param milliseconds the duration in milliseconds
     */
    void took(RequestTime duration, boolean idempotent, long milliseconds);

    /**
     * Records the end of a request.
     *
     * @param outcome the name of the last event of the request, such as {@code request_refused}
     * @param resultCode the number of its {@link org.siskinramp.result.ResultCode}
     * @param reason the reason of the outcome, one of a small set of values
     */
    void ended(String outcome, int resultCode, String reason);
}
