package org.siskinramp.gateway;

import java.util.List;
import java.util.Optional;
import org.siskinramp.fleet.KnownServer;

/**
 * Chooses the backend server that gets a request, among those whose load is known. Answers machines
 * that turn several times slower for moments: a server that is slow now, nearly full or in another
 * availability zone is charged the time that this is expected to cost.
 */
final class PlacementChoice {

    /** How much longer work is expected to take on a nearly full server, as a share of it. */
    private static final double CROWDED_SHARE = 0.5;

    private static final double USUAL_PACE_PERCENT = 100;

    /** From here on an answer is more likely late than not. */
    private static final int SLOW_PACE_PERCENT = 200;

    private final String availabilityZone;
    private final ConcurrencyLimit limit;

    PlacementChoice(String availabilityZone, ConcurrencyLimit limit) {
        this.availabilityZone = availabilityZone;
        this.limit = limit;
    }

    /**
     * Chooses the server with the lowest expected cost.
     *
     * @param servers servers whose load is known
     * @param typicalMilliseconds how long such work usually takes
     * @param crossZoneMilliseconds what it costs to cross into another availability zone
     * @return the choice, or empty if all are full
     */
    Optional<Choice> choose(
            List<KnownServer> servers, long typicalMilliseconds, double crossZoneMilliseconds) {
        Choice best = null;
        for (KnownServer server : servers) {
            if (!hasRoom(server)) {
                continue;
            }
            double cost = cost(server, typicalMilliseconds, crossZoneMilliseconds);
            if (best == null || cost < best.costMilliseconds()) {
                best = new Choice(server, cost, server.pacePercent() > SLOW_PACE_PERCENT);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tells whether a server runs fewer requests than serves most. */
    boolean hasRoom(KnownServer server) {
        return server.occupied() < limit.limit(server.server().slots());
    }

    private double cost(KnownServer server, long typicalMilliseconds, double crossZone) {
        double slower = Math.max(0, server.pacePercent() / USUAL_PACE_PERCENT - 1);
        double slowness = slower * typicalMilliseconds;
        boolean crowded = server.occupied() >= ConcurrencyLimit.uncrowded(server.server().slots());
        return slowness
                + (crowded ? CROWDED_SHARE * typicalMilliseconds : 0)
                + (server.isIn(availabilityZone) ? 0 : crossZone);
    }

    /**
     * Names a server and what is expected to be lost by choosing it.
     *
     * @param server the server
     * @param costMilliseconds the expected cost in milliseconds, 0 for a free and fast server of
     *     the own availability zone
     * @param isSlow whether its work takes much longer than usual now
     */
    record Choice(KnownServer server, double costMilliseconds, boolean isSlow) {}
}
