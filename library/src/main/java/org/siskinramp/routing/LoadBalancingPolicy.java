package org.siskinramp.routing;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses one of several candidate backend servers for the next request. */
@FunctionalInterface
public interface LoadBalancingPolicy {

    /** The extra latency assumed for a server in another availability zone, in milliseconds. */
    double CROSS_ZONE_PENALTY_MILLISECONDS = 1.0;

    /**
     * Chooses a candidate.
     *
     * @param candidates the servers that may get the request, at least one, ordered by name
     * @param random the source of randomness
     * @return the index of the chosen candidate
     */
    int choose(List<ServerCandidate> candidates, UniformRandomProvider random);

    /**
     * Returns a policy that chooses the server with the lowest expected latency, with a penalty for
     * servers in other availability zones. A server that is warming up is chosen at random with its
     * even share of the requests instead: its allowance rises only with answers, and it would get
     * no request while other servers are expected to be faster.
     *
     * @return the policy
     */
    static LoadBalancingPolicy lowestScore() {
        return (candidates, random) -> {
            int randomIndex = random.nextInt(candidates.size());
            return candidates.get(randomIndex).warmingUp()
                    ? randomIndex
                    : indexOfLowest(
                            candidates,
                            random,
                            Comparator.comparingDouble(LoadBalancingPolicy::scoreWithZonePenalty));
        };
    }

    /**
     * Returns a policy that chooses uniformly at random.
     *
     * @return the policy
     */
    static LoadBalancingPolicy random() {
        return (candidates, random) -> random.nextInt(candidates.size());
    }

    /**
     * Returns a round-robin policy.
     *
     * @return the policy, which keeps its own position
     */
    static LoadBalancingPolicy roundRobin() {
        AtomicInteger position = new AtomicInteger();
        return (candidates, random) -> Math.floorMod(position.getAndIncrement(), candidates.size());
    }

    /**
     * Returns a policy that chooses the server with the fewest requests in progress from this host.
     *
     * @return the policy
     */
    static LoadBalancingPolicy leastRequests() {
        return (candidates, random) ->
                indexOfLowest(
                        candidates,
                        random,
                        Comparator.comparingInt(ServerCandidate::requestsInProgress));
    }

    /**
     * Returns a policy that draws two servers at random and chooses the one that reported less
     * load.
     *
     * @return the policy
     */
    static LoadBalancingPolicy twoChoices() {
        return (candidates, random) -> {
            int first = random.nextInt(candidates.size());
            int second = random.nextInt(candidates.size());
            return candidates.get(second).reportedLoad() < candidates.get(first).reportedLoad()
                    ? second
                    : first;
        };
    }

    private static double scoreWithZonePenalty(ServerCandidate candidate) {
        return candidate.score()
                + (candidate.sameAvailabilityZone() ? 0 : CROSS_ZONE_PENALTY_MILLISECONDS);
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
