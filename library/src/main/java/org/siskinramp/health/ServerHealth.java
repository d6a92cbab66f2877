package org.siskinramp.health;

/**
 * Tracks the latency and the success rate of one backend server, as this host observes them, and
 * ejects the server after consecutive failures. Not thread-safe.
 */
public final class ServerHealth {

    private static final double SAMPLE_WEIGHT = 0.1;

    /** The lower bound of the success rate, which limits how far failures raise the score. */
    private static final double MINIMUM_SUCCESS_RATE = 0.05;

    /** The time constant with which observations lose weight. */
    private static final double DECAY_MILLISECONDS = 2_000;

    private static final int FAILURES_BEFORE_EJECTION = 5;
    private static final long INITIAL_EJECTION_MILLISECONDS = 500;
    private static final long MAXIMUM_EJECTION_MILLISECONDS = 30_000;

    private final MovingAverage latency;
    private final MovingAverage successRate = new MovingAverage(1.0, SAMPLE_WEIGHT);
    private int consecutiveFailures;
    private long ejectedUntil = Long.MIN_VALUE;
    private long nextEjectionMilliseconds = INITIAL_EJECTION_MILLISECONDS;
    private boolean trialPending;
    private long sampledAt = Long.MIN_VALUE / 2;

    /**
     * Creates the health of a server without failures.
     *
     * @param expectedLatencyMilliseconds the latency that is assumed before the first answer
     */
    public ServerHealth(double expectedLatencyMilliseconds) {
        latency = new MovingAverage(expectedLatencyMilliseconds, SAMPLE_WEIGHT);
    }

    /**
     * Records an answer that counts as a success.
     *
     * @param latencyMilliseconds how long it took
     * @param now monotonic milliseconds
     */
    public void recordSuccess(long latencyMilliseconds, long now) {
        if (now - sampledAt > DECAY_MILLISECONDS) {
            // Adding it would give the latencies from before the idle time their full weight again.
            latency.reset((double) latencyMilliseconds);
        } else {
            latency.add((double) latencyMilliseconds);
        }
        sampledAt = now;
        successRate.add(1.0);
        consecutiveFailures = 0;
        trialPending = false;
        ejectedUntil = Long.MIN_VALUE;
        nextEjectionMilliseconds = INITIAL_EJECTION_MILLISECONDS;
    }

    /**
     * Records a failure. Its latency is ignored, so that a server that fails fast does not look
     * fast.
     *
     * @param now monotonic milliseconds
     * @param mayEject whether enough other servers are left to eject this one
     * @return true if the server is ejected by this failure
     */
    public boolean recordFailure(long now, boolean mayEject) {
        sampledAt = now;
        successRate.add(0.0);
        consecutiveFailures++;
        boolean trialFailed = trialPending;
        trialPending = false;
        if (!trialFailed && consecutiveFailures < FAILURES_BEFORE_EJECTION) {
            return false;
        }
        if (now < ejectedUntil || !mayEject) {
            return false;
        }
        ejectedUntil = now + nextEjectionMilliseconds;
        nextEjectionMilliseconds =
                Math.min(2 * nextEjectionMilliseconds, MAXIMUM_EJECTION_MILLISECONDS);
        consecutiveFailures = FAILURES_BEFORE_EJECTION;
        return true;
    }

    /**
     * Records an attempt that timed out. Its latency is only known to be at least the time that the
     * attempt lasted.
     *
     * @param latencyMilliseconds how long the attempt lasted
     */
    public void recordMinimumLatency(long latencyMilliseconds) {
        latency.add(Math.max(latency.value(), (double) latencyMilliseconds));
    }

    /** Records that a trial request was sent after an ejection. */
    public void beginTrial() {
        trialPending = true;
    }

    /**
     * Tells whether the server may get a request.
     *
     * @param now monotonic milliseconds
     * @return false while it is ejected or while a trial request is in progress
     */
    public boolean isEligible(long now) {
        return now >= ejectedUntil && !trialPending;
    }

    /**
     * Tells whether the ejection time is over and the next request decides whether the ejection
     * ends.
     *
     * @param now monotonic milliseconds
     * @return true if the next request is a trial
     */
    public boolean needsTrial(long now) {
        return ejectedUntil != Long.MIN_VALUE && now >= ejectedUntil;
    }

    /**
     * Returns the expected latency per successful answer. The weight of the observations decays
     * with their age, so that a server that got no requests for a while is tried again.
     *
     * @param now monotonic milliseconds
     * @param typicalMilliseconds the typical latency of the service
     * @return milliseconds; lower is better
     */
    public double score(long now, double typicalMilliseconds) {
        double weight = Math.exp((sampledAt - now) / DECAY_MILLISECONDS);
        double expected = typicalMilliseconds + weight * (latency.value() - typicalMilliseconds);
        double success = 1 - weight * (1 - successRate.value());
        return expected / Math.max(MINIMUM_SUCCESS_RATE, success);
    }

    /**
     * Returns the recent latency of successful answers and of attempts that timed out.
     *
     * @return milliseconds
     */
    public double latencyMilliseconds() {
        return latency.value();
    }
}
