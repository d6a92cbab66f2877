package org.siskinramp.gateway;

/** Bounds how often something happens by tokens that are given, and kept up to a number. */
final class TokenBucket {

    private final double capacity;
    private double tokens;

    /** Starts with as many tokens as are kept at most. */
    TokenBucket(double capacity) {
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Adds tokens, up to the number that is kept. */
    void give(double added) {
        tokens = Math.min(capacity, tokens + added);
    }

    /** Takes tokens; returns false and takes none if there are too few. */
    boolean take(double wanted) {
        if (tokens < wanted) {
            return false;
        }
        tokens -= wanted;
        return true;
    }
}
