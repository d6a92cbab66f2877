package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.EvacuatedZones;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.peer.OperatorDelta;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.peer.RouteTableDelta;
import org.siskinramp.peer.RouteTableDeltaSize;
import org.siskinramp.route.RouteTable;
import org.siskinramp.workspace.Workspace;
import org.siskinramp.workspace.WorkspaceTable;

/**
 * Holds a copy of the operator table, from which updates for other hosts are built. Of a large
 * route table, small changes are sent; the whole table is sent on request only. After a large
 * change, other hosts read it from the store, which costs less than the traffic between
 * availability zones. Not thread-safe; guarded by the lock of its owner.
 */
final class OperatorTableReplica {

    /** About 6 kB; sending these between availability zones costs as much as a store call. */
    static final int MAXIMUM_UNSOLICITED_ROUTES = 40;

    /** Sending this much between availability zones costs as much as a store call. */
    private static final int MAXIMUM_DELTA_BYTES = 6_000;

    /** About 30 kB per frame. */
    private static final int ROUTES_PER_MESSAGE = 200;

    private final EvacuatedZones evacuatedZones = new EvacuatedZones();
    private RouteTable routes = RouteTable.EMPTY;
    private long version;
    private RouteTable previousRoutes = RouteTable.EMPTY;
    private long previousVersion;
    private Optional<RouteTableDelta> delta = Optional.empty();

    /** Returns the version of the last change by an operator, 0 before the first read. */
    long version() {
        return version;
    }

    void apply(Changes<OperatorChange> changes) {
        if (!changes.isSnapshot() && changes.items().stream().allMatch(this::isSentElsewhere)) {
            return;
        }
        previousVersion = version;
        previousRoutes = routes;
        delta = Optional.empty();
        version = changes.version();
        evacuatedZones.apply(changes);
        for (OperatorChange change : changes.items()) {
            if (change instanceof OperatorChange.Routes routesChange
                    && routesChange.routes().version() >= routes.version()) {
                // A restored store may hold older routes, which are not in force any more.
                routes = routesChange.routes();
            }
        }
    }

    /** Orders of roll-outs have messages of their own, so hosts need no new table for them. */
    private boolean isSentElsewhere(OperatorChange change) {
        return change instanceof OperatorChange.Rollouts;
    }

    /**
     * Builds the messages that are sent without a request. There are none if there are too many
     * routes and the last change is large, or the receiver has not the version before it.
     *
     * @param receiverVersion the version that the receiver was told of last
     */
    List<? extends PeerMessage> unsolicitedMessages(long receiverVersion, long ageMilliseconds) {
        if (routes.routeCount() <= MAXIMUM_UNSOLICITED_ROUTES) {
            return snapshotMessages(ageMilliseconds);
        }
        if (receiverVersion != previousVersion || previousRoutes.version() == 0) {
            return List.of();
        }
        // Computed on demand, since most hosts have no subscribers.
        RouteTableDelta lastChange =
                delta.orElseGet(() -> RouteTableDeltas.between(previousRoutes, routes));
        delta = Optional.of(lastChange);
        return RouteTableDeltaSize.estimateBytes(lastChange) > MAXIMUM_DELTA_BYTES
                ? List.of()
                : List.of(
                        new OperatorDelta(
                                version,
                                ageMilliseconds,
                                lastChange,
                                List.copyOf(evacuatedZones.names())));
    }

    /** Converts a delta of another host to a snapshot; empty if it does not apply to this copy. */
    Optional<Changes<OperatorChange>> changesOf(OperatorDelta update) {
        return RouteTableDeltas.apply(routes, update.routes())
                .map(table -> snapshot(update.operatorVersion(), table, update.evacuatedZones()));
    }

    /** Builds a snapshot of the table, in as many messages as the routes need. */
    List<OperatorNews> snapshotMessages(long ageMilliseconds) {
        List<RouteLine> lines = routes.routes().stream().map(RouteLine::of).toList();
        List<List<RouteLine>> parts = MultipartList.split(lines, ROUTES_PER_MESSAGE);
        List<OperatorNews> messages = new ArrayList<>();
        List<Workspace> workspaces = routes.workspaces().map(WorkspaceTable::all).orElse(List.of());
        for (int part = 0; part < parts.size(); part++) {
            boolean hasMoreParts = part + 1 < parts.size();
            messages.add(
                    new OperatorNews(
                            version,
                            ageMilliseconds,
                            routes.version(),
                            parts.get(part),
                            List.copyOf(routes.services()),
                            routes.limits(),
                            routes.workspaces().isPresent(),
                            hasMoreParts ? List.of() : workspaces,
                            List.copyOf(evacuatedZones.names()),
                            part,
                            hasMoreParts));
        }
        return messages;
    }

    /** Converts a snapshot of another host to the changes that a read of the table returns. */
    static Changes<OperatorChange> changesOf(OperatorNews update, List<RouteLine> lines) {
        RouteTable table =
                new RouteTable(
                        update.routesVersion(),
                        lines.stream().map(RouteLine::toRoute).toList(),
                        update.services(),
                        update.callerLimits(),
                        workspacesOf(update));
        return snapshot(update.operatorVersion(), table, update.evacuatedZones());
    }

    private static Changes<OperatorChange> snapshot(
            long version, RouteTable table, List<String> evacuatedZones) {
        List<OperatorChange> changes = new ArrayList<>();
        if (table.version() > 0) {
            changes.add(new OperatorChange.Routes(table));
        }
        evacuatedZones.forEach(zone -> changes.add(new OperatorChange.Evacuation(zone, true)));
        return new Changes<>(version, true, changes);
    }

    private static Optional<WorkspaceTable> workspacesOf(OperatorNews update) {
        return update.keysRequired()
                ? Optional.of(new WorkspaceTable(update.workspaces()))
                : Optional.empty();
    }
}
