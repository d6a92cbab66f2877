package org.siskinramp.rollout;

/**
 * Tests sequentially whether bad events occur among responses at an acceptable or at an
 * unacceptable rate (Wald's sequential probability ratio test), and detects that the rate rises
 * later (cumulative sum test). Handles responses that arrive in batches; not thread-safe.
 *
 * <p>At the acceptable rate the verdict is {@code BAD} with a probability of at most the false
 * alarm probability. At the unacceptable rate it is {@code GOOD} with a probability of at most the
 * miss probability, as long as the rate does not change. After a change, only the cumulative sum
 * counts: it starts anew whenever the evidence of earlier responses is favourable.
 */
final class SequentialTest {

    /** So many positions at which the cumulative sum may start are accounted for. */
    private static final double EXPECTED_RESPONSES = 5_000;

    private final double alarmThreshold;
    private final double acceptanceThreshold;
    private double total;
    private double sinceLastLow;

    /**
     * Creates a test.
     *
     * @param falseAlarmProbability how likely a good version may be rejected
     * @param missProbability how likely a bad version may be accepted
     */
    SequentialTest(double falseAlarmProbability, double missProbability) {
        alarmThreshold = Math.log(EXPECTED_RESPONSES / falseAlarmProbability);
        acceptanceThreshold = Math.log(missProbability);
    }

    /**
     * Adds a batch of responses.
     *
     * @param events the number of bad events
     * @param others the number of other responses
     * @param acceptableRate the rate of bad events of a good version
     * @param unacceptableRate the lowest rate of bad events that must be detected
     */
    void add(long events, long others, double acceptableRate, double unacceptableRate) {
        double evidence =
                events * Math.log(unacceptableRate / acceptableRate)
                        + others * Math.log((1 - unacceptableRate) / (1 - acceptableRate));
        total += evidence;
        sinceLastLow = Math.max(0, sinceLastLow + evidence);
    }

    Verdict verdict() {
        if (sinceLastLow >= alarmThreshold) {
            return Verdict.BAD;
        }
        boolean isAcceptable = total <= acceptanceThreshold && sinceLastLow < -acceptanceThreshold;
        return isAcceptable ? Verdict.GOOD : Verdict.UNDECIDED;
    }
}
