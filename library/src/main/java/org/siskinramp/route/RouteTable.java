package org.siskinramp.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.siskinramp.workspace.WorkspaceTable;

/** Holds one version of all routes, services and limits. Immutable. */
public final class RouteTable {

    /** The table that is used until one has been read: version 0, no routes. */
    public static final RouteTable EMPTY =
            new RouteTable(0, List.of(), List.of(), new CallerLimits(0, 0, 0, 0));

    private final long version;
    private final Map<String, Map<String, Route>> routesByPrefixByHost = new HashMap<>();
    private final Map<String, RoutedService> services = new HashMap<>();
    private final CallerLimits limits;
    private final Optional<WorkspaceTable> workspaces;
    private final int routeCount;

    /**
     * Creates a table of a deployment without workspaces, whose callers need no keys.
     *
     * @param version the version, which increases with every change
     * @param routes all routes
     * @param services the services that the routes refer to
     * @param limits the limits for callers
     */
    public RouteTable(
            long version,
            Collection<Route> routes,
            Collection<RoutedService> services,
            CallerLimits limits) {
        this(version, routes, services, limits, Optional.empty());
    }

    /**
     * Creates a table.
     *
     * @param version the version, which increases with every change
     * @param routes all routes
     * @param services the services that the routes refer to
     * @param limits the limits for callers
     * @param workspaces the workspaces whose keys callers need, empty if callers need no keys
     */
    public RouteTable(
            long version,
            Collection<Route> routes,
            Collection<RoutedService> services,
            CallerLimits limits,
            Optional<WorkspaceTable> workspaces) {
        this.version = version;
        this.limits = limits;
        this.workspaces = workspaces;
        this.routeCount = routes.size();
        for (Route route : routes) {
            routesByPrefixByHost
                    .computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the workspaces.
     *
     * @return the workspaces, empty if callers need no keys
     */
    public Optional<WorkspaceTable> workspaces() {
        return workspaces;
    }

    /**
     * Returns the number of routes.
     *
     * @return the number of routes
     */
    public int routeCount() {
        return routeCount;
    }

    /**
     * Returns the routes.
     *
     * @return all routes, in no particular order
     */
    public Collection<Route> routes() {
        return routesByPrefixByHost.values().stream()
                .flatMap(byPrefix -> byPrefix.values().stream())
                .toList();
    }

    /**
     * Returns the services.
     *
     * @return all services, in no particular order
     */
    public Collection<RoutedService> services() {
        return List.copyOf(services.values());
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service
     */
    public Optional<RoutedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the route of a request: the one of its host with the longest prefix of its path.
     *
     * @param host the host of the request, without a port
     * @param path the path without the query
     * @return the route
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = routesByPrefixByHost.getOrDefault(host, Map.of());
        for (int slash = path.lastIndexOf('/');
                slash >= 0;
                slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
