package org.siskinramp.routing;

/**
 * Describes a backend server that is a candidate for the next request.
 *
 * @param backendServer its name
 * @param warmingUp whether it is not fully warm yet
 * @param sameAvailabilityZone whether it is in this host's availability zone
 * @param score the expected time until a successful answer, in milliseconds
 * @param requestsInProgress how many requests of this host are in progress on it
 * @param reportedLoad how many requests in progress the server last reported, or -1 if unknown
 */
public record ServerCandidate(
        String backendServer,
        boolean warmingUp,
        boolean sameAvailabilityZone,
        double score,
        int requestsInProgress,
        int reportedLoad) {}
