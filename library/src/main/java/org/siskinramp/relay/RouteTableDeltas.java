package org.siskinramp.relay;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import net.openhft.hashing.LongHashFunction;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.peer.RoutePath;
import org.siskinramp.peer.RouteTableDelta;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.workspace.Workspace;
import org.siskinramp.workspace.WorkspaceTable;

/**
 * Computes the difference between two versions of the routes and applies it to the older one. It
 * serves large tables of which an operator changes little at a time: a few routes, or the keys of a
 * workspace.
 *
 * <p>A difference contains a digest of the resulting table. Two hosts may hold different tables
 * under the same version after the store was restored from an older copy; the digest prevents that
 * a difference turns one into a table that no operator wrote.
 */
final class RouteTableDeltas {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RouteTableDeltas() {}

    /** Computes the difference that turns the base into the other table. */
    static RouteTableDelta between(RouteTable base, RouteTable current) {
        Map<RoutePath, RouteLine> baseRoutes = routesOf(base);
        Map<RoutePath, RouteLine> routes = routesOf(current);
        Map<String, RoutedService> baseServices = servicesOf(base);
        Map<String, RoutedService> services = servicesOf(current);
        Map<String, Workspace> baseWorkspaces = workspacesOf(base);
        Map<String, Workspace> workspaces = workspacesOf(current);
        return new RouteTableDelta(
                base.version(),
                current.version(),
                digest(current),
                changed(baseRoutes, routes),
                removed(baseRoutes, routes),
                changed(baseServices, services),
                removed(baseServices, services),
                current.limits(),
                current.workspaces().isPresent(),
                changed(baseWorkspaces, workspaces),
                removed(baseWorkspaces, workspaces));
    }

    /**
     * Applies a difference to a table.
     *
     * @return the resulting table, which may be the given one; empty if the difference does not
     *     apply to it
     */
    static Optional<RouteTable> apply(RouteTable table, RouteTableDelta delta) {
        if (table.version() == delta.version() && digest(table) == delta.contentDigest()) {
            return Optional.of(table);
        }
        if (table.version() != delta.baseVersion()) {
            return Optional.empty();
        }
        try {
            RouteTable result = merge(table, delta);
            return digest(result) == delta.contentDigest() ? Optional.of(result) : Optional.empty();
        } catch (IllegalArgumentException contradiction) {
            // Another table with the version of the base may have the same key elsewhere.
            return Optional.empty();
        }
    }

    private static RouteTable merge(RouteTable table, RouteTableDelta delta) {
        Collection<RouteLine> routes =
                merge(
                        routesOf(table),
                        delta.changedRoutes(),
                        RouteTableDeltas::pathOf,
                        delta.removedRoutes());
        Collection<RoutedService> services =
                merge(
                        servicesOf(table),
                        delta.changedServices(),
                        RoutedService::name,
                        delta.removedServices());
        return new RouteTable(
                delta.version(),
                routes.stream().map(RouteLine::toRoute).toList(),
                services,
                delta.callerLimits(),
                mergeWorkspaces(table, delta));
    }

    private static Optional<WorkspaceTable> mergeWorkspaces(
            RouteTable table, RouteTableDelta delta) {
        if (!delta.keysRequired()) {
            return Optional.empty();
        }
        return Optional.of(
                new WorkspaceTable(
                        merge(
                                workspacesOf(table),
                                delta.changedWorkspaces(),
                                Workspace::name,
                                delta.removedWorkspaces())));
    }

    /**
     * Computes a digest of the content of a table, without its version. The digest does not depend
     * on the order of the items. It relies on the text form of records, so that hosts with
     * different Java versions may compute different digests, and then exchange whole tables.
     */
    static long digest(RouteTable table) {
        long digest = HASH.hashChars(table.limits().toString());
        digest += table.workspaces().isPresent() ? 1 : 0;
        digest += sumOfHashes(routesOf(table).values());
        digest += sumOfHashes(servicesOf(table).values());
        digest += sumOfHashes(workspacesOf(table).values());
        return digest;
    }

    private static long sumOfHashes(Collection<?> items) {
        return items.stream().mapToLong(item -> HASH.hashChars(item.toString())).sum();
    }

    private static Map<RoutePath, RouteLine> routesOf(RouteTable table) {
        return byKey(table.routes().stream().map(RouteLine::of).toList(), RouteTableDeltas::pathOf);
    }

    private static RoutePath pathOf(RouteLine route) {
        return new RoutePath(route.host(), route.prefix());
    }

    private static Map<String, RoutedService> servicesOf(RouteTable table) {
        return byKey(table.services(), RoutedService::name);
    }

    private static Map<String, Workspace> workspacesOf(RouteTable table) {
        return byKey(
                table.workspaces().map(WorkspaceTable::all).orElse(List.of()), Workspace::name);
    }

    private static <K, V> Map<K, V> byKey(Collection<V> items, Function<V, K> key) {
        Map<K, V> byKey = new LinkedHashMap<>();
        items.forEach(item -> byKey.put(key.apply(item), item));
        return byKey;
    }

    private static <K, V> List<V> changed(Map<K, V> base, Map<K, V> current) {
        return current.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(base.get(entry.getKey())))
                .map(Map.Entry::getValue)
                .toList();
    }

    private static <K, V> List<K> removed(Map<K, V> base, Map<K, V> current) {
        return base.keySet().stream().filter(key -> !current.containsKey(key)).toList();
    }

    private static <K, V> Collection<V> merge(
            Map<K, V> base, List<V> changed, Function<V, K> key, List<K> removed) {
        Map<K, V> merged = new LinkedHashMap<>(base);
        merged.keySet().removeAll(removed);
        changed.forEach(item -> merged.put(key.apply(item), item));
        return merged.values();
    }
}
