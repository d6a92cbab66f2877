package org.siskinramp.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.fleet.KnownServer;

/**
 * Selects the backend servers to probe for their load. Load changes faster than it could be
 * reported for all servers: probing a few random servers finds a free and fast one more reliably
 * than a list of all servers that is one second old.
 */
final class ProbeCandidates {

    /** A server that reported itself full this recently is probed after the others. */
    private static final long FULL_REPORT_MILLISECONDS = 40;

    private ProbeCandidates() {}

    /**
     * Selects servers at random, in this order of preference: neither full nor deprioritised, full,
     * deprioritised, deprioritised and full. Leaves out servers that are being probed or that send
     * no load reports.
     *
     * @param servers the servers that may receive the request
     * @param limit the maximum number of servers to select
     * @param now monotonic milliseconds
     * @param random the source of randomness
     * @return the selected servers
     */
    static List<KnownServer> select(
            List<KnownServer> servers, int limit, long now, UniformRandomProvider random) {
        List<Ranked> ranked = new ArrayList<>(servers.size());
        for (KnownServer server : servers) {
            if (!server.isProbeInFlight() && !server.neverReportsLoad()) {
                ranked.add(new Ranked(server, rank(server, now), random.nextInt()));
            }
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingInt(Ranked::tieBreaker));
        return ranked.stream().limit(limit).map(Ranked::server).toList();
    }

    private static int rank(KnownServer server, long now) {
        boolean full =
                server.hasLoadReport()
                        && server.estimatedRequestsInProgress() >= server.server().slots()
                        && server.loadReportAgeMilliseconds(now) < FULL_REPORT_MILLISECONDS;
        return (server.isDeprioritised(now) ? 2 : 0) + (full ? 1 : 0);
    }

    private record Ranked(KnownServer server, int rank, int tieBreaker) {}
}
