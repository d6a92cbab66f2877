package org.siskinramp.health;

/**
 * Judges one backend server by what this host saw of it: latency, success rate, and ejection after
 * failures in a row. It is not safe for use by several threads.
 */
public final class ServerHealth {

    private static final double SAMPLE_WEIGHT = 0.1;
    private static final double LOWEST_SUCCESS_RATE = 0.05;
    private static final double MEMORY_MILLISECONDS = 2_000;
    private static final int FAILURES_BEFORE_EJECTION = 5;
    private static final long FIRST_EJECTION_MILLISECONDS = 500;
    private static final long LONGEST_EJECTION_MILLISECONDS = 30_000;

    private final MovingAverage latency;
    private final MovingAverage successRate = new MovingAverage(1.0, SAMPLE_WEIGHT);
    private int failuresInARow;
    private long ejectedUntil = Long.MIN_VALUE;
    private long nextEjectionMilliseconds = FIRST_EJECTION_MILLISECONDS;
    private boolean trialPending;
    private long sampledAt = Long.MIN_VALUE / 2;

    /**
     * Starts to judge a server.
     *
     * @param expectedLatencyMilliseconds what its latency is taken for before the first answer
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
        if (now - sampledAt > MEMORY_MILLISECONDS) {
            // One answer would otherwise bring back what was seen before the rest.
            latency.restart((double) latencyMilliseconds);
        } else {
            latency.add((double) latencyMilliseconds);
        }
        sampledAt = now;
        successRate.add(1.0);
        failuresInARow = 0;
        trialPending = false;
        ejectedUntil = Long.MIN_VALUE;
        nextEjectionMilliseconds = FIRST_EJECTION_MILLISECONDS;
    }

    /**
     * Records a failure. Its latency is left out, so that a server that fails fast does not look
     * fast.
     *
     * @param now monotonic milliseconds
     * @param mayEject whether enough other servers are left
     * @return true if the server is ejected by this failure
     */
    public boolean recordFailure(long now, boolean mayEject) {
        sampledAt = now;
        successRate.add(0.0);
        failuresInARow++;
        boolean trialFailed = trialPending;
        trialPending = false;
        if (!trialFailed && failuresInARow < FAILURES_BEFORE_EJECTION) {
            return false;
        }
        if (now < ejectedUntil || !mayEject) {
            return false;
        }
        ejectedUntil = now + nextEjectionMilliseconds;
        nextEjectionMilliseconds =
                Math.min(2 * nextEjectionMilliseconds, LONGEST_EJECTION_MILLISECONDS);
        failuresInARow = FAILURES_BEFORE_EJECTION;
        return true;
    }

    /**
     * Records that a latency was at least this long, when an attempt was given up.
     *
     * @param latencyMilliseconds how long the attempt lasted
     */
    public void recordSlow(long latencyMilliseconds) {
        latency.add(Math.max(latency.value(), (double) latencyMilliseconds));
    }

    /** Notes that a single trial request is on its way after an ejection. */
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
     * Tells whether the next request decides over the end of an ejection.
     *
     * @param now monotonic milliseconds
     * @return true if the next request is a trial
     */
    public boolean needsTrial(long now) {
        return ejectedUntil != Long.MIN_VALUE && now >= ejectedUntil;
    }

    /**
     * Returns how attractive the server is. What was seen counts less the older it is, so that a
     * server that got no request for a while is tried again.
     *
     * @param now monotonic milliseconds
     * @param typicalMilliseconds the typical latency of the service
     * @return the expected milliseconds for a successful answer; lower is better
     */
    public double score(long now, double typicalMilliseconds) {
        double memory = Math.exp((sampledAt - now) / MEMORY_MILLISECONDS);
        double expected = typicalMilliseconds + memory * (latency.value() - typicalMilliseconds);
        double success = 1 - memory * (1 - successRate.value());
        return expected / Math.max(LOWEST_SUCCESS_RATE, success);
    }

    /**
     * Returns the recent latency of successful answers.
     *
     * @return milliseconds
     */
    public double latencyMilliseconds() {
        return latency.value();
    }
}
