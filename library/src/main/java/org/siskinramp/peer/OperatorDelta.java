package org.siskinramp.peer;

import java.util.List;

/**
 * Sends a change of a large operator table to a host that has the version before it. A host that
 * cannot apply the change asks for the whole table with {@link RoutesAsk}.
 *
 * @param operatorVersion the version of the operator table after the change
 * @param ageMilliseconds the age of the read of the table, in milliseconds
 * @param routes what changed in the routes, services, workspaces and limits
 * @param evacuatedZones all availability zones whose backend servers must not receive requests
 */
public record OperatorDelta(
        long operatorVersion,
        long ageMilliseconds,
        RouteTableDelta routes,
        List<String> evacuatedZones)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param operatorVersion the version after the change
     * @param ageMilliseconds the age of the read
     * @param routes what changed in the routes
     * @param evacuatedZones the evacuated availability zones
     */
    public OperatorDelta {
        evacuatedZones = List.copyOf(evacuatedZones);
    }
}
