package org.siskinramp.routing;

/**
 * Limits extra work to a share of the ordinary work, with a small reserve for quiet times. It is
 * not safe for use by several threads.
 */
final class ShareBudget {

    private static final double RESERVE = 10;

    private final double share;
    private double available = RESERVE;

    /**
     * Creates a budget with a full reserve.
     *
     * @param share how much extra work each piece of ordinary work allows
     */
    ShareBudget(double share) {
        this.share = share;
    }

    /** Records a piece of ordinary work. */
    void earn() {
        available = Math.min(RESERVE, available + share);
    }

    /**
     * Takes one piece of extra work out of the budget.
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
