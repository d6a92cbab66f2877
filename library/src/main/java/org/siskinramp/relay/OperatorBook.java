package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.EvacuatedZones;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.route.RouteTable;

/**
 * Keeps all that operators set, to tell it to others. Many routes are not told: whoever lacks them
 * reads the store, which costs less than their bytes between availability zones. It is guarded by
 * the lock of its owner.
 */
final class OperatorBook {

    /** About 6 kB; between availability zones that costs as much as a call to the store. */
    static final int ROUTES_TOLD_AT_MOST = 40;

    private final EvacuatedZones evacuatedZones = new EvacuatedZones();
    private RouteTable routes = RouteTable.EMPTY;
    private long version;

    /** Returns the version of the last change by an operator, 0 before the first read. */
    long version() {
        return version;
    }

    void follow(Changes<OperatorChange> changes) {
        if (!changes.whole() && changes.items().isEmpty()) {
            return;
        }
        version = changes.version();
        evacuatedZones.follow(changes);
        for (OperatorChange change : changes.items()) {
            if (change instanceof OperatorChange.Routes newer) {
                routes = newer.routes();
            }
        }
    }

    /** Returns what is told, or empty if there are too many routes. */
    Optional<OperatorNews> news(long ageMilliseconds) {
        if (routes.routeCount() > ROUTES_TOLD_AT_MOST) {
            return Optional.empty();
        }
        return Optional.of(
                new OperatorNews(
                        version,
                        ageMilliseconds,
                        routes.version(),
                        routes.routes().stream().map(RouteLine::of).toList(),
                        List.copyOf(routes.services()),
                        routes.limits(),
                        List.copyOf(evacuatedZones.names())));
    }

    /** Turns what another host tells into the changes that a read of the whole table would give. */
    static Changes<OperatorChange> changesOf(OperatorNews news) {
        List<OperatorChange> changes = new ArrayList<>();
        if (news.routesVersion() > 0) {
            changes.add(
                    new OperatorChange.Routes(
                            new RouteTable(
                                    news.routesVersion(),
                                    news.routes().stream().map(RouteLine::toRoute).toList(),
                                    news.services(),
                                    news.limits())));
        }
        news.evacuatedZones()
                .forEach(zone -> changes.add(new OperatorChange.Evacuation(zone, true)));
        return new Changes<>(news.version(), true, changes);
    }
}
