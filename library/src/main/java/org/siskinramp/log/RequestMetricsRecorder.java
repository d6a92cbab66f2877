package org.siskinramp.log;

/** Receives the durations and the outcomes of requests, for metrics. */
public interface RequestMetricsRecorder {

    /** Discards all values. */
    RequestMetricsRecorder NONE =
            new RequestMetricsRecorder() {
                @Override
                public void recordDuration(
                        RequestDuration duration, boolean idempotent, long milliseconds) {
                    // Discarded.
                }

                @Override
                public void recordEnd(String outcome, int resultCode, String reason) {
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
    void recordDuration(RequestDuration duration, boolean idempotent, long milliseconds);

    /**
     * Records the end of a request.
     *
     * @param outcome the name of the last event of the request, such as {@code request_refused}
     * @param resultCode the number of its {@link org.siskinramp.result.ResultCode}
     * @param reason the reason of the outcome, one of a small set of values
     */
    void recordEnd(String outcome, int resultCode, String reason);
}
