package org.siskinramp.fleet;

/**
 * Decides for how long a server is passed over while others are free: after failures, while it says
 * that it is ill, and after an answer that did not end. It ends by itself, since a server that is
 * passed over is not probed. It is guarded by the lock of its owner.
 */
final class Suspicion {

    /** The first time for which a server that failed is passed over; it doubles each time. */
    private static final long FIRST_MILLISECONDS = 100;

    /** The longest such time. It stays below the time in which a crashed server is back. */
    private static final long LONGEST_MILLISECONDS = 1_600;

    /** A server that says it is ill is asked again after this. */
    private static final long ILLNESS_MILLISECONDS = 1_000;

    /**
     * The time in which the memory of failures fades to a third, as the server gets no requests.
     */
    private static final double FAILURE_MEMORY_MILLISECONDS = 1_500;

    /** How much the end of one attempt moves the share of failures. */
    private static final double FAILURE_WEIGHT = 0.2;

    /** The share of failed attempts from which a server is passed over while others are free. */
    private static final double FAILING_SHARE = 0.3;

    /**
     * The first time for which a server is passed over whose answer did not end; it doubles each
     * time. Each try costs a caller its whole time.
     */
    private static final long FIRST_EJECTION_MILLISECONDS = 5_000;

    private static final long LONGEST_EJECTION_MILLISECONDS = 60_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long suspectUntil = NEVER;
    private long nextTerm = FIRST_MILLISECONDS;
    private long illUntil = NEVER;
    private double failureShare;
    private long failedAt;
    private long ejectedUntil = NEVER;
    private long ejectionTerm;

    boolean isHeld(long now) {
        return now < illUntil
                || now < suspectUntil
                || now < ejectedUntil
                || failureShare(now) > FAILING_SHARE;
    }

    private double failureShare(long now) {
        return failureShare * Math.exp((failedAt - now) / FAILURE_MEMORY_MILLISECONDS);
    }

    /** Tells whether the server was ejected and has answered nothing as it should since. */
    boolean isOnTrial() {
        return ejectionTerm > 0;
    }

    void tellHealth(boolean healthy, long now) {
        illUntil = healthy ? NEVER : now + ILLNESS_MILLISECONDS;
    }

    void succeed(long now) {
        if (now >= ejectedUntil) {
            ejectionTerm = 0;
        }
        nextTerm = FIRST_MILLISECONDS;
        failureShare -= FAILURE_WEIGHT * failureShare;
    }

    void fail(long now) {
        double faded = failureShare(now);
        failureShare = faded + FAILURE_WEIGHT * (1 - faded);
        failedAt = now;
    }

    void suspect(long now) {
        suspectUntil = now + nextTerm;
        nextTerm = Math.min(2 * nextTerm, LONGEST_MILLISECONDS);
    }

    /** Ejects the server; returns false if it is ejected already. */
    boolean eject(long now) {
        if (now < ejectedUntil) {
            return false;
        }
        ejectionTerm =
                ejectionTerm == 0
                        ? FIRST_EJECTION_MILLISECONDS
                        : Math.min(2 * ejectionTerm, LONGEST_EJECTION_MILLISECONDS);
        ejectedUntil = now + ejectionTerm;
        return true;
    }

    long ejectedUntil() {
        return ejectedUntil;
    }
}
