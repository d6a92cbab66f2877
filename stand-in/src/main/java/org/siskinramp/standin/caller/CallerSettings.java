package org.siskinramp.standin.caller;

import java.util.List;

/**
 * The settings of a run of simulated callers.
 *
 * @param targets the caller-side addresses of the entry hosts, as {@code ip:port}
 * @param verifiedServers the addresses of the backend servers that are asked after the run which
 *     requests they ran; empty if the outcomes are not verified
 * @param kinds the kinds of request
 * @param requests how many requests are sent
 * @param warmUpRequests how many of the first requests are left out of the latencies
 * @param requestsPerSecond the mean rate outside a surge
 * @param callers how many callers share the requests
 * @param seed the seed from which all random values are drawn
 * @param deadlineMilliseconds the deadline that callers send with each request, in milliseconds
 * @param resendShare the share of non-idempotent requests of which a second copy is sent through
 *     another target, from 0 to 1
 * @param followUpMilliseconds for how long after the deadline a request that is still in progress
 *     is asked for again, in milliseconds
 * @param shape how the rate changes in time and how the load is distributed over the targets
 */
public record CallerSettings(
        List<String> targets,
        List<String> verifiedServers,
        List<LoadKind> kinds,
        int requests,
        int warmUpRequests,
        double requestsPerSecond,
        int callers,
        long seed,
        long deadlineMilliseconds,
        double resendShare,
        long followUpMilliseconds,
        LoadShape shape) {

    /**
     * Copies the lists so that the settings are immutable.
     *
     * @param targets the targets
     * @param verifiedServers the addresses of the backend servers
     * @param kinds the kinds
     * @param requests the number of requests
     * @param warmUpRequests the number of requests without latencies
     * @param requestsPerSecond the rate
     * @param callers the number of callers
     * @param seed the seed
     * @param deadlineMilliseconds the deadline
     * @param resendShare the share of requests with a second copy
     * @param followUpMilliseconds the time for asking again
     * @param shape the shape
     */
    public CallerSettings {
        targets = List.copyOf(targets);
        verifiedServers = List.copyOf(verifiedServers);
        kinds = List.copyOf(kinds);
    }
}
