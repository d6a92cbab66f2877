package org.siskinramp.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;

/**
 * Decides which backend servers a request may be placed on: healthy ones of the own availability
 * zone first; other zones after some patience, or if the own zone has none; servers that failed or
 * are cold only if there is no other. It is guarded by the lock of the gateway.
 */
final class ServerScope {

    /** Rounds in the own availability zone before the request looks further. */
    private static final int OWN_ZONE_ROUNDS = 1;

    private final String service;
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final Fleet fleet;
    private final ColdRate coldRate;
    private final Map<String, ColdTurns> coldTurns = new HashMap<>();

    ServerScope(
            String service,
            GatewayEnvironment environment,
            GatewayOptions options,
            Fleet fleet,
            ColdRate coldRate) {
        this.service = service;
        this.coldRate = coldRate;
        this.environment = environment;
        this.options = options;
        this.fleet = fleet;
    }

    boolean isEmpty(long now) {
        return !fleet.hasUsable(service, now);
    }

    /** Returns when the first server that asked for a pause may get requests again. */
    OptionalLong firstReturn(long now) {
        return fleet.firstReturn(service, now);
    }

    /** Tells whether a server that just answered may get another request at once. */
    boolean isHealthy(KnownServer server, long now) {
        return fleet.isUsable(server, now) && !server.isCold(now) && !server.isSuspect(now);
    }

    /** Lists the servers that a request may be placed on now. */
    List<KnownServer> of(GatewayRun run, long now) {
        List<KnownServer> usable =
                filter(fleet.usable(service, now), server -> !run.hasTried(server.server().name()));
        List<KnownServer> warm = filter(usable, server -> !server.isCold(now));
        List<KnownServer> healthy = filter(warm, server -> !server.isSuspect(now));
        List<KnownServer> near =
                filter(healthy, server -> server.isIn(environment.availabilityZone()));
        boolean patient =
                run.rounds() <= OWN_ZONE_ROUNDS
                        || run.waitedMilliseconds(now) < options.crossZonePatienceMilliseconds();
        if (!near.isEmpty() && patient) {
            return near;
        }
        if (!healthy.isEmpty()) {
            return healthy;
        }
        if (!warm.isEmpty()) {
            return warm;
        }
        List<KnownServer> inTurn = filter(usable, server -> isInTurn(server, now));
        return inTurn.isEmpty() ? usable : inTurn;
    }

    private static List<KnownServer> filter(
            List<KnownServer> servers, Predicate<KnownServer> accepted) {
        List<KnownServer> kept = new ArrayList<>(servers.size());
        for (KnownServer server : servers) {
            if (accepted.test(server)) {
                kept.add(server);
            }
        }
        return kept;
    }

    /** Uses this host's turn at a cold server; returns false if it has to wait for one. */
    boolean takeColdTurn(KnownServer server, long now) {
        if (!isInTurn(server, now)) {
            return false;
        }
        turns(server).use();
        return true;
    }

    private boolean isInTurn(KnownServer server, long now) {
        double perSecond = coldRate.perSecond();
        return perSecond > 0 && turns(server).isOpen(perSecond, coldRate.hosts(), now);
    }

    private ColdTurns turns(KnownServer server) {
        return coldTurns.computeIfAbsent(
                server.server().name(), name -> new ColdTurns(environment.random()::nextDouble));
    }

    /** Tells how often all hosts together may send to a cold server, and how many they are. */
    interface ColdRate {
        double perSecond();

        int hosts();
    }
}
