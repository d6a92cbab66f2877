package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.EvacuatedZones;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.route.RouteTable;

/**
 * Keeps all that operators set, to tell it to others. Many routes are told only to hosts that ask
 * for them: whoever can read the store does, which costs less than their bytes between availability
 * zones. It is guarded by the lock of its owner.
 */
final class OperatorBook {

    /** About 6 kB; between availability zones that costs as much as a call to the store. */
    static final int ROUTES_TOLD_AT_MOST = 40;

    /** About 30 kB in a frame. */
    private static final int ROUTES_OF_A_MESSAGE = 200;

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

    /** Writes down what is told unasked: nothing if there are too many routes. */
    List<OperatorNews> news(long ageMilliseconds) {
        return routes.routeCount() > ROUTES_TOLD_AT_MOST ? List.of() : whole(ageMilliseconds);
    }

    /** Writes down all routes, in as many messages as they need. */
    List<OperatorNews> whole(long ageMilliseconds) {
        List<RouteLine> lines = routes.routes().stream().map(RouteLine::of).toList();
        List<List<RouteLine>> parts = NewsParts.split(lines, ROUTES_OF_A_MESSAGE);
        List<OperatorNews> messages = new ArrayList<>();
        for (int part = 0; part < parts.size(); part++) {
            messages.add(
                    new OperatorNews(
                            version,
                            ageMilliseconds,
                            routes.version(),
                            parts.get(part),
                            List.copyOf(routes.services()),
                            routes.limits(),
                            List.copyOf(evacuatedZones.names()),
                            part,
                            part + 1 < parts.size()));
        }
        return messages;
    }

    /** Turns what another host tells into the changes that a read of the whole table would give. */
    static Changes<OperatorChange> changesOf(OperatorNews news, List<RouteLine> lines) {
        List<OperatorChange> changes = new ArrayList<>();
        if (news.routesVersion() > 0) {
            changes.add(
                    new OperatorChange.Routes(
                            new RouteTable(
                                    news.routesVersion(),
                                    lines.stream().map(RouteLine::toRoute).toList(),
                                    news.services(),
                                    news.limits())));
        }
        news.evacuatedZones()
                .forEach(zone -> changes.add(new OperatorChange.Evacuation(zone, true)));
        return new Changes<>(news.version(), true, changes);
    }
}
