package org.siskinramp.follow;

import org.siskinramp.rollout.RolloutRows;
import org.siskinramp.route.RouteTable;

/** A change of the operator table. */
public sealed interface OperatorChange {

    /**
     * Replaces the routes.
     *
     * @param routes the complete new route table
     */
    record Routes(RouteTable routes) implements OperatorChange {}

    /**
     * Sets whether an availability zone is evacuated.
     *
     * @param availabilityZone the zone
     * @param evacuated true while its backend servers must not receive requests
     */
    record Evacuation(String availabilityZone, boolean evacuated) implements OperatorChange {}

    /**
     * Changes the orders of roll-outs. Each snapshot that this host read from the store holds one
     * of these; one of a peer holds none, since peers send orders in other messages.
     *
     * @param rows the orders that were read
     */
    record Rollouts(RolloutRows rows) implements OperatorChange {}
}
