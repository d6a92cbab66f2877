package org.siskinramp.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    private final Map<String, TokenBucket> coldPaces = new HashMap<>();

    ServerScope(
            String service, GatewayEnvironment environment, GatewayOptions options, Fleet fleet) {
        this.service = service;
        this.environment = environment;
        this.options = options;
        this.fleet = fleet;
    }

    boolean isEmpty(long now) {
        return fleet.usable(service, now).isEmpty();
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
        return warm.isEmpty() ? usable : warm;
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

    /**
     * Takes one request out of this host's part of the rate that a cold server bears. The part
     * starts at a random fill, so that hosts which learn of the server together do not use it
     * together.
     *
     * @param server the server
     * @param coldRequestsPerSecond what it bears from all hosts together
     * @param hosts how many hosts share it
     * @param now monotonic milliseconds
     * @return false if this host has to wait
     */
    boolean takeColdRequest(KnownServer server, double coldRequestsPerSecond, int hosts, long now) {
        double rate = coldRequestsPerSecond * options.coldOverage() / Math.max(1, hosts);
        return coldPaces
                .computeIfAbsent(
                        server.server().name(),
                        name -> new TokenBucket(environment.random().nextDouble(), now))
                .take(1, now, rate, 1);
    }
}
