package org.siskinramp.routing;

/**
 * Describes a backend server that may get the next request.
 *
 * @param backendServer its name
 * @param warmingUp whether it has yet to show that it bears its full load
 * @param sameAvailabilityZone whether it is in this host's availability zone
 * @param score the expected milliseconds for a successful answer
 * @param requestsInProgress how many requests this host has in progress there
 * @param reportedLoad how many requests the server last said it was running, or -1
 */
public record ServerCandidate(
        String backendServer,
        boolean warmingUp,
        boolean sameAvailabilityZone,
        double score,
        int requestsInProgress,
        int reportedLoad) {}
