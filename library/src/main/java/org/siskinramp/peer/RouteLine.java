package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.route.Route;
import org.siskinramp.route.ServiceShare;

/**
 * Holds a route in a message.
 *
 * @param name the name of the route
 * @param host the host name of its requests
 * @param prefix the prefix of their paths
 * @param idempotent whether its requests may run more than once
 * @param timeLimitMilliseconds the longest time to an answer
 * @param objectiveMilliseconds the time in which an answer is wanted
 * @param rank its rank, 0 for the most urgent
 * @param attemptLimit the greatest number of backend servers for one request
 * @param shares the services that it goes to
 */
public record RouteLine(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        long timeLimitMilliseconds,
        long objectiveMilliseconds,
        int rank,
        int attemptLimit,
        List<ServiceShare> shares) {

    /**
     * Copies the list so that the line cannot change.
     *
     * @param name the name of the route
     * @param host the host name of its requests
     * @param prefix the prefix of their paths
     * @param idempotent whether its requests may run more than once
     * @param timeLimitMilliseconds the longest time to an answer
     * @param objectiveMilliseconds the time in which an answer is wanted
     * @param rank its rank
     * @param attemptLimit the greatest number of backend servers
     * @param shares the services that it goes to
     */
    public RouteLine {
        shares = List.copyOf(shares);
    }

    /**
     * Writes a route down.
     *
     * @param route the route
     * @return the line
     */
    public static RouteLine of(Route route) {
        return new RouteLine(
                route.name(),
                route.host(),
                route.prefix(),
                route.isIdempotent(),
                route.timeLimitMilliseconds(),
                route.objectiveMilliseconds(),
                route.rank(),
                route.attemptLimit(),
                route.shares());
    }

    /**
     * Returns the route that was written down.
     *
     * @return the route
     */
    public Route toRoute() {
        return Route.builder()
                .name(name)
                .host(host)
                .prefix(prefix)
                .idempotent(idempotent)
                .timeLimitMilliseconds(timeLimitMilliseconds)
                .objectiveMilliseconds(objectiveMilliseconds)
                .rank(rank)
                .attemptLimit(attemptLimit)
                .shares(shares)
                .build();
    }
}
