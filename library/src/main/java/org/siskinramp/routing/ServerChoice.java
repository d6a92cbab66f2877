package org.siskinramp.routing;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses one of several backend servers for the next request. */
@FunctionalInterface
public interface ServerChoice {

    /**
     * What an answer from another availability zone is expected to take longer, in milliseconds.
     */
    double AVAILABILITY_ZONE_DISTANCE_MILLISECONDS = 1.0;

    /**
     * Chooses a candidate.
     *
     * @param candidates the servers that may get the request, at least one, in name order
     * @param random the source of randomness
     * @return the index of the chosen candidate
     */
    int choose(List<ServerCandidate> candidates, UniformRandomProvider random);

    /**
     * Returns the choice of the lowest expected time, which prefers this host's availability zone
     * while it is not slower. A server that warms up gets its even share of the requests instead:
     * it bears more only after some answers, and would get none while others are expected to be
     * faster.
     *
     * @return the choice
     */
    static ServerChoice lowestScore() {
        return (candidates, random) -> {
            int drawn = random.nextInt(candidates.size());
            return candidates.get(drawn).warmingUp()
                    ? drawn
                    : indexOfLowest(
                            candidates,
                            random,
                            Comparator.comparingDouble(ServerChoice::scoreWithDistance));
        };
    }

    /**
     * Returns a uniformly random choice.
     *
     * @return the choice
     */
    static ServerChoice random() {
        return (candidates, random) -> random.nextInt(candidates.size());
    }

    /**
     * Returns a choice of each server in turn.
     *
     * @return the choice, with a position of its own
     */
    static ServerChoice roundRobin() {
        AtomicInteger position = new AtomicInteger();
        return (candidates, random) -> Math.floorMod(position.getAndIncrement(), candidates.size());
    }

    /**
     * Returns the choice of the server with the fewest requests of this host.
     *
     * @return the choice
     */
    static ServerChoice leastRequests() {
        return (candidates, random) ->
                indexOfLowest(
                        candidates,
                        random,
                        Comparator.comparingInt(ServerCandidate::requestsInProgress));
    }

    /**
     * Returns the choice of the better of two random servers by the load that they reported.
     *
     * @return the choice
     */
    static ServerChoice twoChoices() {
        return (candidates, random) -> {
            int first = random.nextInt(candidates.size());
            int second = random.nextInt(candidates.size());
            return candidates.get(second).reportedLoad() < candidates.get(first).reportedLoad()
                    ? second
                    : first;
        };
    }

    private static double scoreWithDistance(ServerCandidate candidate) {
        return candidate.score()
                + (candidate.sameAvailabilityZone() ? 0 : AVAILABILITY_ZONE_DISTANCE_MILLISECONDS);
    }

    private static int indexOfLowest(
            List<ServerCandidate> candidates,
            UniformRandomProvider random,
            Comparator<ServerCandidate> order) {
        int offset = random.nextInt(candidates.size());
        int best = offset;
        for (int step = 1; step < candidates.size(); step++) {
            int index = (offset + step) % candidates.size();
            if (order.compare(candidates.get(index), candidates.get(best)) < 0) {
                best = index;
            }
        }
        return best;
    }
}
