package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.route.Route;
import org.siskinramp.route.ServiceShare;

/**
 * Represents a {@link Route} in a message.
 *
 * @param name the name of the route
 * @param host the host name of the requests that the route matches
 * @param prefix the path prefix of the requests that the route matches
 * @param idempotent whether its requests may run more than once
 * @param openToAll whether its requests need no key of a workspace
 * @param timeLimitMilliseconds the time limit of a request, in milliseconds
 * @param latencyObjectiveMilliseconds the target latency of an answer, in milliseconds
 * @param rank its rank, 0 is the most urgent
 * @param attemptLimit the maximum number of backend servers that are tried for one request
 * @param shares the services that receive its requests, with their shares
 */
public record RouteLine(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        boolean openToAll,
        long timeLimitMilliseconds,
        long latencyObjectiveMilliseconds,
        int rank,
        int attemptLimit,
        List<ServiceShare> shares) {

    /**
     * Copies the list so that the line cannot change.
     *
     * @param name the name of the route
     * @param host the host name of its requests
     * @param prefix the path prefix of its requests
     * @param idempotent whether its requests may run more than once
     * @param openToAll whether its requests need no key of a workspace
     * @param timeLimitMilliseconds the time limit of a request
     * @param latencyObjectiveMilliseconds the target latency
     * @param rank its rank
     * @param attemptLimit the maximum number of backend servers that are tried
     * @param shares the services that receive its requests
     */
    public RouteLine {
        shares = List.copyOf(shares);
    }

    /**
     * Converts a route for a message.
     *
     * @param route the route
     * @return its representation in a message
     */
    public static RouteLine of(Route route) {
        return new RouteLine(
                route.name(),
                route.host(),
                route.prefix(),
                route.isIdempotent(),
                route.isPublic(),
                route.timeLimitMilliseconds(),
                route.latencyObjectiveMilliseconds(),
                route.rank(),
                route.attemptLimit(),
                route.shares());
    }

    /**
     * Converts this representation back into a route.
     *
     * @return the route
     */
    public Route toRoute() {
        return Route.builder()
                .name(name)
                .host(host)
                .prefix(prefix)
                .idempotent(idempotent)
                .openToAll(openToAll)
                .timeLimitMilliseconds(timeLimitMilliseconds)
                .latencyObjectiveMilliseconds(latencyObjectiveMilliseconds)
                .rank(rank)
                .attemptLimit(attemptLimit)
                .shares(shares)
                .build();
    }
}
