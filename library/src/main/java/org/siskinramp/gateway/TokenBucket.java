package org.siskinramp.gateway;

/** Bounds how often something happens: a steady rate, and a store of what was not used. */
final class TokenBucket {

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private double tokens;
    private long filledAt;

    /** Starts with some tokens. */
    TokenBucket(double tokens, long now) {
        this.tokens = tokens;
        this.filledAt = now;
    }

    /**
     * Takes tokens if there are enough.
     *
     * @param wanted how many
     * @param now monotonic milliseconds
     * @param perSecond the rate at which tokens come back
     * @param capacity how many are kept at most
     * @return true if they were taken
     */
    boolean take(double wanted, long now, double perSecond, double capacity) {
        tokens =
                Math.min(capacity, tokens + (now - filledAt) * perSecond / MILLISECONDS_PER_SECOND);
        filledAt = now;
        return take(wanted);
    }

    /** Adds tokens, up to the number that is kept. */
    void give(double added, double capacity) {
        tokens = Math.min(capacity, tokens + added);
    }

    /** Takes tokens if there are enough, without any that come back by time. */
    boolean take(double wanted) {
        if (tokens < wanted) {
            return false;
        }
        tokens -= wanted;
        return true;
    }
}
