package org.siskinramp.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the service of each request of a route in proportion to the weights of the services.
 *
 * <p>It uses smooth weighted round robin, which keeps the proportions even over a few requests; a
 * random selection does not. The state of a route is reset when its shares change. Not thread-safe.
 */
public final class WeightedServiceSelector {

    private final Map<String, WeightedRoundRobin> roundRobinsByRoute = new HashMap<>();

    /**
     * Selects the service of the next request.
     *
     * @param route the route
     * @return the name of the service
     */
    public String next(Route route) {
        List<ServiceShare> shares = route.shares();
        if (shares.size() == 1) {
            return shares.get(0).service();
        }
        WeightedRoundRobin roundRobin = roundRobinsByRoute.get(route.name());
        if (roundRobin == null || !roundRobin.shares.equals(shares)) {
            roundRobin = new WeightedRoundRobin(shares);
            roundRobinsByRoute.put(route.name(), roundRobin);
        }
        return roundRobin.next();
    }

    private static final class WeightedRoundRobin {

        private final List<ServiceShare> shares;
        private final long[] currentWeights;
        private final long totalWeight;

        private WeightedRoundRobin(List<ServiceShare> shares) {
            this.shares = shares;
            currentWeights = new long[shares.size()];
            totalWeight = shares.stream().mapToLong(ServiceShare::weight).sum();
        }

        private String next() {
            int best = 0;
            for (int index = 0; index < currentWeights.length; index++) {
                currentWeights[index] += shares.get(index).weight();
                if (currentWeights[index] > currentWeights[best]) {
                    best = index;
                }
            }
            currentWeights[best] -= totalWeight;
            return shares.get(best).service();
        }
    }
}
