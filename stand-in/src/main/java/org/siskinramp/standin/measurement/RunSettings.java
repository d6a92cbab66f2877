package org.siskinramp.standin.measurement;

import java.util.List;

/**
 * Holds the settings of one run.
 *
 * @param deployment whose services and availability zones are copied
 * @param policy the name of the routing policy that the entry hosts run
 * @param scenario the load and its disturbance
 * @param repeat the number of this repeat, from 1
 * @param seed the seed of all random choices
 * @param milliseconds how long the load lasts
 * @param warmUpMilliseconds how long a lower load comes before it
 * @param outageMilliseconds how long the platform is down in the scenario that takes it down
 * @param deadlineMilliseconds how long callers wait
 * @param workMilliseconds the mean duration of a request on a backend server
 * @param processes the processes under load
 */
public record RunSettings(
        Deployment deployment,
        String policy,
        Scenario scenario,
        int repeat,
        long seed,
        long milliseconds,
        long warmUpMilliseconds,
        long outageMilliseconds,
        long deadlineMilliseconds,
        double workMilliseconds,
        Processes processes) {

    private static final double MILLISECONDS_PER_SECOND = 1000;

    double requestsPerSecond(double utilisation) {
        double slots = deployment.slots() * (double) processes.servers().size();
        return utilisation * slots * MILLISECONDS_PER_SECOND / workMilliseconds;
    }

    /**
     * Names the processes under load.
     *
     * @param callerSides where entry hosts take requests
     * @param administrations where entry hosts take commands and give metrics
     * @param entryHostIds the identifiers of the entry hosts' processes
     * @param servers the backend servers
     * @param directServer a backend server of no service, for requests that pass no entry host
     * @param platform the platform
     * @param token the token of the administration API
     */
    public record Processes(
            List<String> callerSides,
            List<String> administrations,
            List<Long> entryHostIds,
            List<String> servers,
            String directServer,
            String platform,
            String token) {

        /**
         * Copies the lists.
         *
         * @param callerSides where entry hosts take requests
         * @param administrations where entry hosts take commands
         * @param entryHostIds the processes' identifiers
         * @param servers the backend servers
         * @param directServer the backend server of no service
         * @param platform the platform
         * @param token the token
         */
        public Processes {
            callerSides = List.copyOf(callerSides);
            administrations = List.copyOf(administrations);
            entryHostIds = List.copyOf(entryHostIds);
            servers = List.copyOf(servers);
        }
    }
}
