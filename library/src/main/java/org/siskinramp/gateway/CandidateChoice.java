package org.siskinramp.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.fleet.KnownServer;

/**
 * Chooses which backend servers are asked for their load. Answers load that shifts faster than any
 * report: a few random servers, asked just now, show a free and fast one more surely than a list of
 * all servers that is a second old.
 */
final class CandidateChoice {

    /** A server that was seen to be full this recently is asked after the others. */
    private static final long FULL_MEMORY_MILLISECONDS = 40;

    private CandidateChoice() {}

    /**
     * Chooses some servers at random: healthy ones first, then those not seen to be full just now.
     *
     * @param servers the servers that may get the request
     * @param count how many to choose at most
     * @param now monotonic milliseconds
     * @param random the source of randomness
     * @return the chosen servers
     */
    static List<KnownServer> choose(
            List<KnownServer> servers, int count, long now, UniformRandomProvider random) {
        List<Ranked> ranked = new ArrayList<>(servers.size());
        for (KnownServer server : servers) {
            if (!server.isProbed() && !server.isSilent()) {
                ranked.add(new Ranked(server, rank(server, now), random.nextInt()));
            }
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingInt(Ranked::draw));
        return ranked.stream().limit(count).map(Ranked::server).toList();
    }

    private static int rank(KnownServer server, long now) {
        boolean full =
                server.tellsLoad()
                        && server.occupied() >= server.server().slots()
                        && server.sightAge(now) < FULL_MEMORY_MILLISECONDS;
        return (server.isSuspect(now) ? 2 : 0) + (full ? 1 : 0);
    }

    private record Ranked(KnownServer server, int rank, int draw) {}
}
