package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.RoutedService;
import org.siskinramp.workspace.Workspace;

/**
 * Sends a snapshot of the operator table: routes, workspaces, caller limits and evacuated
 * availability zones.
 *
 * @param operatorVersion the version of the operator table
 * @param ageMilliseconds the age of the read of the table, in milliseconds
 * @param routesVersion the version of the routes, 0 if there are none yet
 * @param routes the routes in this part of the snapshot
 * @param services the services to which any route refers
 * @param callerLimits limits on the requests of callers
 * @param keysRequired whether callers need keys of workspaces
 * @param workspaces the workspaces, in the last part only
 * @param evacuatedZones the availability zones whose backend servers must not receive requests
 * @param part the index of this message among the parts of the snapshot, from 0
 * @param hasMoreParts true if another message continues the list of routes
 */
public record OperatorNews(
        long operatorVersion,
        long ageMilliseconds,
        long routesVersion,
        List<RouteLine> routes,
        List<RoutedService> services,
        CallerLimits callerLimits,
        boolean keysRequired,
        List<Workspace> workspaces,
        List<String> evacuatedZones,
        int part,
        boolean hasMoreParts)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param operatorVersion the version of the operator table
     * @param ageMilliseconds the age of the read
     * @param routesVersion the version of the routes
     * @param routes the routes in this part
     * @param services the services to which any route refers
     * @param callerLimits limits on the requests of callers
     * @param keysRequired whether callers need keys of workspaces
     * @param workspaces the workspaces, in the last part only
     * @param evacuatedZones the evacuated availability zones
     * @param part the index of this message among the parts
     * @param hasMoreParts whether another message continues the list of routes
     */
    public OperatorNews {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        workspaces = List.copyOf(workspaces);
        evacuatedZones = List.copyOf(evacuatedZones);
    }
}
