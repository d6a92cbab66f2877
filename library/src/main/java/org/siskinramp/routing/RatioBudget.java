package org.siskinramp.routing;

/**
 * Limits extra attempts, such as retries, to a ratio of the requests. It is a token bucket that
 * each request fills a little; its capacity allows some extra attempts while there are few
 * requests. It is not thread-safe.
 */
final class RatioBudget {

    private static final double CAPACITY_TOKENS = 10;

    private final double ratio;
    private double available = CAPACITY_TOKENS;

    /**
     * Creates a budget with a full bucket.
     *
     * @param ratio how many extra attempts each request allows, usually less than one
     */
    RatioBudget(double ratio) {
        this.ratio = ratio;
    }

    /** Adds the tokens for one request. */
    void deposit() {
        available = Math.min(CAPACITY_TOKENS, available + ratio);
    }

    /**
     * Tries to take the token for one extra attempt.
     *
     * @return false if the budget is used up
     */
    boolean spend() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
