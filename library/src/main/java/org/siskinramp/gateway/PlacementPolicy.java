package org.siskinramp.gateway;

import java.util.List;
import java.util.Optional;
import org.siskinramp.fleet.KnownServer;

/**
 * Chooses the backend server for a request among those whose load is known, by expected cost.
 * Machines may become several times slower for short periods, so a server that is slow now, nearly
 * full or in another availability zone is charged the extra time that this is expected to cost.
 */
final class PlacementPolicy {

    /** Expected extra time on a nearly full server, as a share of the typical service time. */
    private static final double SATURATION_COST_SHARE = 0.5;

    private static final double USUAL_SERVICE_TIME_PERCENT = 100;

    /** Above this service time an answer is more likely to miss its objective than to meet it. */
    private static final int SLOW_SERVICE_TIME_PERCENT = 200;

    private final String availabilityZone;
    private final ConcurrencyLimit concurrencyLimit;

    PlacementPolicy(String availabilityZone, ConcurrencyLimit concurrencyLimit) {
        this.availabilityZone = availabilityZone;
        this.concurrencyLimit = concurrencyLimit;
    }

    /**
     * Chooses the server with the lowest expected cost.
     *
     * @param servers servers whose load is known
     * @param typicalMilliseconds how long requests of this kind typically take
     * @param crossZoneMilliseconds the cost of another availability zone
     * @return the placement, or empty if all servers are full
     */
    Optional<Placement> choose(
            List<KnownServer> servers, long typicalMilliseconds, double crossZoneMilliseconds) {
        Placement best = null;
        for (KnownServer server : servers) {
            if (!hasCapacity(server)) {
                continue;
            }
            double cost = cost(server, typicalMilliseconds, crossZoneMilliseconds);
            if (best == null || cost < best.costMilliseconds()) {
                best =
                        new Placement(
                                server,
                                cost,
                                server.serviceTimePercent() > SLOW_SERVICE_TIME_PERCENT);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tells whether a server has fewer requests than its concurrency limit. */
    boolean hasCapacity(KnownServer server) {
        return server.estimatedRequestsInProgress()
                < concurrencyLimit.limit(server.server().slots());
    }

    private double cost(
            KnownServer server, long typicalMilliseconds, double crossZoneMilliseconds) {
        double slowdown = Math.max(0, server.serviceTimePercent() / USUAL_SERVICE_TIME_PERCENT - 1);
        double slowdownMilliseconds = slowdown * typicalMilliseconds;
        boolean saturated =
                server.estimatedRequestsInProgress()
                        >= ConcurrencyLimit.kneeConcurrency(server.server().slots());
        return slowdownMilliseconds
                + (saturated ? SATURATION_COST_SHARE * typicalMilliseconds : 0)
                + (server.isIn(availabilityZone) ? 0 : crossZoneMilliseconds);
    }

    /**
     * A server and the expected cost of choosing it.
     *
     * @param server the server
     * @param costMilliseconds the expected cost in milliseconds, 0 for a free and fast server in
     *     the host's own availability zone
     * @param isSlow whether requests on it currently take much longer than usual
     */
    record Placement(KnownServer server, double costMilliseconds, boolean isSlow) {}
}
