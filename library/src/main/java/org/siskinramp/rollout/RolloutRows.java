package org.siskinramp.rollout;

import java.util.List;

/**
 * The orders in a snapshot of the operator table, or the changes of orders in a delta.
 *
 * @param version the position of the table's version
 * @param isSnapshot whether all orders are given, so that any others were removed
 * @param orders the orders that were read
 * @param removedServices the services whose order was removed
 */
public record RolloutRows(
        long version, boolean isSnapshot, List<RolloutOrder> orders, List<String> removedServices) {

    /**
     * Copies the lists so that the rows cannot change.
     *
     * @param version the position of the table's version
     * @param isSnapshot whether all orders are given
     * @param orders the orders
     * @param removedServices the services whose order was removed
     */
    public RolloutRows {
        orders = List.copyOf(orders);
        removedServices = List.copyOf(removedServices);
    }

    /**
     * Returns the orders of a store that was restored shortly before: one that is missing may only
     * not have been written again yet.
     *
     * @return the same orders, of which none counts as removed for being missing
     */
    public RolloutRows asRestored() {
        return new RolloutRows(version, false, orders, removedServices);
    }
}
