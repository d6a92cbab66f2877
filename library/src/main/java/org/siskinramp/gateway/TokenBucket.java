package org.siskinramp.gateway;

/** Token bucket that is refilled explicitly, up to its capacity. */
final class TokenBucket {

    private final double capacity;
    private double tokens;

    /** Creates a full bucket. */
    TokenBucket(double capacity) {
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Adds tokens, up to the capacity. */
    void refill(double added) {
        tokens = Math.min(capacity, tokens + added);
    }

    /** Takes tokens; returns false and takes none if there are too few. */
    boolean tryAcquire(double requested) {
        if (tokens < requested) {
            return false;
        }
        tokens -= requested;
        return true;
    }
}
