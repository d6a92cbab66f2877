package org.siskinramp.rollout;

/** The stage of an order, in the order in which stages follow each other. */
public enum RolloutStage {
    /** The order was read; its status is not recorded yet. */
    ORDERED("ordered"),
    /** The status row says that the order is carried out. */
    RUNNING("running"),
    /** All requests moved to the target. */
    COMPLETED("completed"),
    /** The target gets no requests, because it was not shown to be as good as the old version. */
    ROLLED_BACK("rolled_back");

    private final String stateName;

    RolloutStage(String stateName) {
        this.stateName = stateName;
    }

    /**
     * Returns the name of the stage in the status row and in log lines.
     *
     * @return the name, such as {@code rolled_back}
     */
    public String stateName() {
        return stateName;
    }

    /**
     * Tells whether no other stage follows.
     *
     * @return true for completed and rolled back orders
     */
    public boolean isFinal() {
        return this == COMPLETED || this == ROLLED_BACK;
    }

    /**
     * Tells whether the backend servers of the target may get requests.
     *
     * @return true if the order was completed
     */
    public boolean allowsTarget() {
        return this == COMPLETED;
    }
}
