package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.RoutedService;
import org.siskinramp.workspace.Workspace;

/**
 * Holds what differs between two versions of the routes, services, workspaces and limits.
 *
 * @param baseVersion the version of the routes to which the difference applies
 * @param version the version of the routes after it was applied
 * @param contentDigest the digest of the whole table after it was applied
 * @param changedRoutes new and changed routes
 * @param removedRoutes the paths of removed routes
 * @param changedServices new and changed services
 * @param removedServices the names of removed services
 * @param callerLimits limits on the requests of callers
 * @param keysRequired whether callers need keys of workspaces
 * @param changedWorkspaces new and changed workspaces
 * @param removedWorkspaces the names of removed workspaces
 */
public record RouteTableDelta(
        long baseVersion,
        long version,
        long contentDigest,
        List<RouteLine> changedRoutes,
        List<RoutePath> removedRoutes,
        List<RoutedService> changedServices,
        List<String> removedServices,
        CallerLimits callerLimits,
        boolean keysRequired,
        List<Workspace> changedWorkspaces,
        List<String> removedWorkspaces) {

    /**
     * Copies the lists so that the difference cannot change.
     *
     * @param baseVersion the version to which the difference applies
     * @param version the version after it was applied
     * @param contentDigest the digest of the whole table
     * @param changedRoutes new and changed routes
     * @param removedRoutes the paths of removed routes
     * @param changedServices new and changed services
     * @param removedServices the names of removed services
     * @param callerLimits limits on the requests of callers
     * @param keysRequired whether callers need keys
     * @param changedWorkspaces new and changed workspaces
     * @param removedWorkspaces the names of removed workspaces
     */
    public RouteTableDelta {
        changedRoutes = List.copyOf(changedRoutes);
        removedRoutes = List.copyOf(removedRoutes);
        changedServices = List.copyOf(changedServices);
        removedServices = List.copyOf(removedServices);
        changedWorkspaces = List.copyOf(changedWorkspaces);
        removedWorkspaces = List.copyOf(removedWorkspaces);
    }
}
