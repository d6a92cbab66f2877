package org.siskinramp.rollout;

import java.util.List;

/**
 * What the coordinating host knows of an order.
 *
 * @param step the step so far
 * @param ageMilliseconds the time since the order
 * @param durationMilliseconds the time from the order to its deadline
 * @param exposedRequests the requests that were sent to the target
 * @param requests all requests of the service since the order
 * @param routes the counts of responses
 * @param isTargetReady whether the target's servers are warm and can carry all requests
 * @param oldRequestsInProgress the requests that may still be in progress at old servers
 * @param isStoreAvailable whether the last call to the store succeeded
 */
public record RolloutSituation(
        RolloutStep step,
        long ageMilliseconds,
        long durationMilliseconds,
        long exposedRequests,
        long requests,
        List<RouteCounts> routes,
        boolean isTargetReady,
        long oldRequestsInProgress,
        boolean isStoreAvailable) {

    /**
     * Copies the list so that the situation cannot change.
     *
     * @param step the step so far
     * @param ageMilliseconds the time since the order
     * @param durationMilliseconds the time from the order to its deadline
     * @param exposedRequests the requests that were sent to the target
     * @param requests all requests of the service since the order
     * @param routes the counts of responses
     * @param isTargetReady whether the target can carry all requests
     * @param oldRequestsInProgress the requests at old servers
     * @param isStoreAvailable whether the last call to the store succeeded
     */
    public RolloutSituation {
        routes = List.copyOf(routes);
    }
}
