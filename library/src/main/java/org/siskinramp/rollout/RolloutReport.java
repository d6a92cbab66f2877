package org.siskinramp.rollout;

/**
 * Tells another host what this one knows of an order.
 *
 * @param order the order; its version is that of the removal if the order was removed
 * @param isRemoved whether the operator removed or replaced the order
 * @param stage the latest stage that was recorded in the store
 * @param isRecorded whether the store is known to hold this stage, also after it was restored
 * @param ageMilliseconds the time since the order, -1 if it is unknown
 */
public record RolloutReport(
        RolloutOrder order,
        boolean isRemoved,
        RolloutStage stage,
        boolean isRecorded,
        long ageMilliseconds) {

    /** The age of an order that a host found when it started. */
    public static final long UNKNOWN_AGE = -1;

    /**
     * Tells whether the sender of this report lacks something that another report tells.
     *
     * @param other a report of the same service and target
     * @return true if the other one has a later version or stage, or the age that is unknown here
     */
    public boolean isBehind(RolloutReport other) {
        if (order.version() != other.order.version()) {
            return order.version() < other.order.version();
        }
        boolean lacksStage =
                !stage.isFinal()
                        && (stage.compareTo(other.stage) < 0
                                || (stage == other.stage && !isRecorded && other.isRecorded));
        return isRemoved == other.isRemoved
                && (lacksStage
                        || (ageMilliseconds == UNKNOWN_AGE
                                && other.ageMilliseconds != UNKNOWN_AGE));
    }
}
