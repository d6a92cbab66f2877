package org.siskinramp.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Deals the requests of a route to its services in proportion to their weights.
 *
 * <p>Smooth weighted round robin keeps the proportions over any few requests, which a random choice
 * does not. A route whose shares change starts anew. It is not safe for use by several threads.
 */
public final class SplitChoice {

    private final Map<String, Turn> turns = new HashMap<>();

    /**
     * Chooses the service of the next request.
     *
     * @param route the route
     * @return the name of the service
     */
    public String next(Route route) {
        List<ServiceShare> shares = route.shares();
        if (shares.size() == 1) {
            return shares.get(0).service();
        }
        Turn turn = turns.get(route.name());
        if (turn == null || !turn.shares.equals(shares)) {
            turn = new Turn(shares);
            turns.put(route.name(), turn);
        }
        return turn.next();
    }

    private static final class Turn {

        private final List<ServiceShare> shares;
        private final long[] credits;
        private final long total;

        private Turn(List<ServiceShare> shares) {
            this.shares = shares;
            credits = new long[shares.size()];
            total = shares.stream().mapToLong(ServiceShare::weight).sum();
        }

        private String next() {
            int best = 0;
            for (int index = 0; index < credits.length; index++) {
                credits[index] += shares.get(index).weight();
                if (credits[index] > credits[best]) {
                    best = index;
                }
            }
            credits[best] -= total;
            return shares.get(best).service();
        }
    }
}
