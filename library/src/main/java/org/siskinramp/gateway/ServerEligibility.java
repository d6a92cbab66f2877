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
 * Decides which backend servers a request may be placed on: healthy servers of the host's own
 * availability zone first; other zones after a short wait, or if the own zone has none;
 * deprioritised servers only if there is no healthy one, and cold servers only if there is no warm
 * one. A server with a rate limit is left out until this host may send it a request again. Guarded
 * by the lock of the gateway.
 */
final class ServerEligibility {

    /**
     * A request with at most this many failed search rounds stays in the host's own availability
     * zone if that zone has a healthy server.
     */
    private static final int OWN_ZONE_ROUNDS = 1;

    private final String service;
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final Fleet fleet;
    private final ColdRateLimit coldRateLimit;
    private final HostShare hostShare;
    private final ServiceRateLimits rateLimits;
    private final Map<String, ColdServerPacer> coldPacers = new HashMap<>();

    ServerEligibility(
            String service,
            GatewayEnvironment environment,
            GatewayOptions options,
            Fleet fleet,
            HostShare hostShare,
            ServiceRateLimits rateLimits,
            ColdRateLimit coldRateLimit) {
        this.service = service;
        this.hostShare = hostShare;
        this.rateLimits = rateLimits;
        this.coldRateLimit = coldRateLimit;
        this.environment = environment;
        this.options = options;
        this.fleet = fleet;
    }

    boolean hasNoUsableServer(long now) {
        return !fleet.hasUsable(service, now);
    }

    /** Returns when the first paused server may receive requests again. */
    OptionalLong earliestPauseEnd(long now) {
        return fleet.earliestPauseEnd(service, now);
    }

    /** Tells whether a server that just answered may receive another request at once. */
    boolean isHealthy(KnownServer server, long now) {
        return fleet.isUsable(server, now)
                && rateLimits.allows(server, now)
                && !server.isCold(now)
                && !server.isDeprioritised(now);
    }

    /** Returns the servers that a request may be placed on now. */
    List<KnownServer> eligibleFor(RequestContext context, long now) {
        List<KnownServer> usable =
                filter(
                        fleet.usable(service, now),
                        server ->
                                !context.hasTried(server.server().name())
                                        && rateLimits.allows(server, now));
        List<KnownServer> warm = filter(usable, server -> !server.isCold(now));
        List<KnownServer> healthy = filter(warm, server -> !server.isDeprioritised(now));
        List<KnownServer> sameZone =
                filter(healthy, server -> server.isIn(environment.availabilityZone()));
        boolean staysInZone =
                context.searchRounds() <= OWN_ZONE_ROUNDS
                        || context.waitedMilliseconds(now)
                                < options.crossZonePatienceMilliseconds();
        if (!sameZone.isEmpty() && staysInZone) {
            return sameZone;
        }
        if (!healthy.isEmpty()) {
            return healthy;
        }
        if (!warm.isEmpty()) {
            return warm;
        }
        List<KnownServer> coldWindowOpen = filter(usable, server -> isColdWindowOpen(server, now));
        return coldWindowOpen.isEmpty() ? usable : coldWindowOpen;
    }

    private static List<KnownServer> filter(
            List<KnownServer> servers, Predicate<KnownServer> condition) {
        List<KnownServer> matching = new ArrayList<>(servers.size());
        for (KnownServer server : servers) {
            if (condition.test(server)) {
                matching.add(server);
            }
        }
        return matching;
    }

    /**
     * Tells whether this host may send the server a request now: no order keeps requests from the
     * server, this host has not used its share of the server's rate limit, and its send window is
     * open if the server is cold.
     */
    boolean maySend(KnownServer server, long now) {
        return fleet.mayServe(server)
                && rateLimits.allows(server, now)
                && (!server.isCold(now) || isColdWindowOpen(server, now));
    }

    /** Records that this host sends the server a request. */
    void recordSend(KnownServer server, long now) {
        server.rateLimit().recordSend(now);
        if (server.isCold(now)) {
            coldPacer(server).useWindow();
        }
    }

    private boolean isColdWindowOpen(KnownServer server, long now) {
        double requestsPerSecond = coldRateLimit.requestsPerSecond();
        return requestsPerSecond > 0
                && coldPacer(server).isWindowOpen(requestsPerSecond, hostShare.hostCount(), now);
    }

    private ColdServerPacer coldPacer(KnownServer server) {
        return coldPacers.computeIfAbsent(
                server.server().name(),
                name -> new ColdServerPacer(environment.random()::nextDouble));
    }

    /** Drops what is kept of servers that are gone. */
    void removeDepartedServers() {
        coldPacers.keySet().removeIf(name -> fleet.find(name).isEmpty());
    }

    /** The request rate to one cold server that all hosts share. */
    @FunctionalInterface
    interface ColdRateLimit {
        double requestsPerSecond();
    }
}
