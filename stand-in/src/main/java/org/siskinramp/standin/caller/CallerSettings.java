package org.siskinramp.standin.caller;

import java.util.List;

/**
 * Holds the settings of a run of callers.
 *
 * @param targets the caller-side addresses of the entry hosts, as {@code ip:port}
 * @param judges the addresses of the backend servers whose judges are asked after the run
 * @param kinds the kinds of request
 * @param requests how many requests are sent
 * @param warmUpRequests how many of them come first and are left out of the latencies
 * @param requestsPerSecond the mean rate
 * @param callers how many callers share the requests
 * @param seed the seed of all random choices
 * @param deadlineMilliseconds how long a caller waits, in milliseconds
 * @param resendShare the share of non-idempotent requests that are sent again through another
 *     target
 * @param followUpMilliseconds how long a request that is in progress is asked for again, in
 *     milliseconds
 * @param shape how the load changes in time and how it is spread
 */
public record CallerSettings(
        List<String> targets,
        List<String> judges,
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
     * Copies the lists so that the settings cannot change.
     *
     * @param targets the targets
     * @param judges the judges
     * @param kinds the kinds
     * @param requests the number of requests
     * @param warmUpRequests the number of requests without latencies
     * @param requestsPerSecond the rate
     * @param callers the number of callers
     * @param seed the seed
     * @param deadlineMilliseconds the deadline
     * @param resendShare the share sent again
     * @param followUpMilliseconds the time for following up
     * @param shape the shape
     */
    public CallerSettings {
        targets = List.copyOf(targets);
        judges = List.copyOf(judges);
        kinds = List.copyOf(kinds);
    }
}
