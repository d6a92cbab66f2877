package org.siskinramp.follow;

import org.siskinramp.route.RouteTable;

/** Tells what an operator set. */
public sealed interface OperatorChange {

    /**
     * Tells the routes.
     *
     * @param routes all routes
     */
    record Routes(RouteTable routes) implements OperatorChange {}

    /**
     * Tells whether an availability zone is evacuated.
     *
     * @param availabilityZone the zone
     * @param evacuated true while its servers must get nothing
     */
    record Evacuation(String availabilityZone, boolean evacuated) implements OperatorChange {}
}
