package org.siskinramp.fleet;

/**
 * Decides for how long a server is deprioritised, that is, chosen only if no other server is free:
 * after failures, while it reports itself unhealthy, and after an endless answer. Each period ends
 * by time alone, since a deprioritised server may get no probe. Guarded by the lock of its owner.
 */
final class OutlierDetection {

    /** How long a server is deprioritised after a connection failure; doubles with each failure. */
    private static final long INITIAL_BACKOFF_MILLISECONDS = 100;

    /** The longest backoff. It is shorter than the time in which a crashed server restarts. */
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 1_600;

    /**
     * How long a server is deprioritised after its health check reports it unhealthy. After that it
     * is probed again.
     */
    private static final long UNHEALTHY_MILLISECONDS = 1_000;

    /**
     * The time constant with which the failure rate decays. It decays by time because a
     * deprioritised server gets no requests that could lower it.
     */
    private static final double FAILURE_DECAY_MILLISECONDS = 1_500;

    /** The weight of one attempt in the moving average of the failure rate. */
    private static final double FAILURE_SAMPLE_WEIGHT = 0.2;

    /** The failure rate above which a server is deprioritised. */
    private static final double FAILURE_RATE_LIMIT = 0.3;

    /**
     * How long a server is ejected after an endless answer; doubles with each ejection. It is long
     * because the caller of each further trial waits until its time limit.
     */
    private static final long INITIAL_EJECTION_MILLISECONDS = 5_000;

    private static final long MAXIMUM_EJECTION_MILLISECONDS = 60_000;

    /**
     * A server that has not succeeded for this long is judged by its failures. A full server
     * completes the requests that fill it, which takes some hundred milliseconds.
     */
    private static final long EXCUSE_MILLISECONDS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long backoffUntil = NEVER;
    private long nextBackoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
    private long unhealthyUntil = NEVER;
    private double failureRate;
    private long failedAt;
    private long succeededAt = NEVER;
    private long ejectedUntil = NEVER;
    private long ejectionMilliseconds;

    boolean isDeprioritised(long now) {
        return now < unhealthyUntil
                || now < backoffUntil
                || now < ejectedUntil
                || failureRate(now) > FAILURE_RATE_LIMIT;
    }

    private double failureRate(long now) {
        return failureRate * Math.exp((failedAt - now) / FAILURE_DECAY_MILLISECONDS);
    }

    /** Tells whether the server was ejected and has not answered successfully since. */
    boolean isOnTrial() {
        return ejectionMilliseconds > 0;
    }

    void recordHealthCheck(boolean healthy, long now) {
        unhealthyUntil = healthy ? NEVER : now + UNHEALTHY_MILLISECONDS;
    }

    void recordSuccess(long now) {
        if (now >= ejectedUntil) {
            ejectionMilliseconds = 0;
        }
        succeededAt = now;
        nextBackoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
        failureRate -= FAILURE_SAMPLE_WEIGHT * failureRate;
    }

    void recordFailure(long now) {
        double decayed = failureRate(now);
        failureRate = decayed + FAILURE_SAMPLE_WEIGHT * (1 - decayed);
        failedAt = now;
    }

    /**
     * Withdraws a recorded failure of a server that has succeeded recently; returns false if it has
     * not.
     */
    boolean excuseFailure(long now) {
        if (now - succeededAt > EXCUSE_MILLISECONDS) {
            return false;
        }
        double decayed = failureRate(now);
        failureRate = Math.max(0, (decayed - FAILURE_SAMPLE_WEIGHT) / (1 - FAILURE_SAMPLE_WEIGHT));
        failedAt = now;
        return true;
    }

    void recordConnectionFailure(long now) {
        backoffUntil = now + nextBackoffMilliseconds;
        nextBackoffMilliseconds =
                Math.min(2 * nextBackoffMilliseconds, MAXIMUM_BACKOFF_MILLISECONDS);
    }

    /** Ejects the server; returns false if it is ejected already. */
    boolean eject(long now) {
        if (now < ejectedUntil) {
            return false;
        }
        ejectionMilliseconds =
                ejectionMilliseconds == 0
                        ? INITIAL_EJECTION_MILLISECONDS
                        : Math.min(2 * ejectionMilliseconds, MAXIMUM_EJECTION_MILLISECONDS);
        ejectedUntil = now + ejectionMilliseconds;
        return true;
    }

    long ejectedUntil() {
        return ejectedUntil;
    }
}
