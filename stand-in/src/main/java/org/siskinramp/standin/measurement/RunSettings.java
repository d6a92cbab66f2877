package org.siskinramp.standin.measurement;

import java.util.List;

/**
 * The settings of one run.
 *
 * @param deployment the deployment whose services and availability zones are reproduced
 * @param policy the name of the routing policy of the entry hosts
 * @param scenario the load and its disturbance
 * @param repeat the number of this repetition of the run, from 1
 * @param seed the seed of all random choices
 * @param loadMilliseconds the duration of the measured load
 * @param warmUpMilliseconds the duration of the warm-up, with a lower load
 * @param outageMilliseconds how long the platform is down in {@link Scenario#PLATFORM_DOWN}; a
 *     longer outage is shortened to half of the load
 * @param deadlineMilliseconds how long callers wait for an answer
 * @param meanServiceTimeMilliseconds the mean service time of a request on a backend server
 * @param processes the processes under load
 */
public record RunSettings(
        Deployment deployment,
        String policy,
        Scenario scenario,
        int repeat,
        long seed,
        long loadMilliseconds,
        long warmUpMilliseconds,
        long outageMilliseconds,
        long deadlineMilliseconds,
        double meanServiceTimeMilliseconds,
        Processes processes) {

    private static final double MILLISECONDS_PER_SECOND = 1000;

    double requestsPerSecond(double utilisation) {
        double slots = deployment.slots() * (double) processes.servers().size();
        return utilisation * slots * MILLISECONDS_PER_SECOND / meanServiceTimeMilliseconds;
    }

    /**
     * The processes under load. Addresses have the form {@code ip:port}.
     *
     * @param callerAddresses where entry hosts accept requests of callers
     * @param administrationAddresses where entry hosts accept commands and export metrics
     * @param entryHostProcessIds the process identifiers of the entry hosts
     * @param servers the addresses of the backend servers
     * @param directServer the address of a backend server of no service, for requests that bypass
     *     the entry hosts
     * @param platform the address of the platform
     * @param token the token of the administration API
     */
    public record Processes(
            List<String> callerAddresses,
            List<String> administrationAddresses,
            List<Long> entryHostProcessIds,
            List<String> servers,
            String directServer,
            String platform,
            String token) {

        /**
         * Copies the lists.
         *
         * @param callerAddresses where entry hosts accept requests
         * @param administrationAddresses where entry hosts accept commands
         * @param entryHostProcessIds the process identifiers
         * @param servers the backend servers
         * @param directServer the backend server of no service
         * @param platform the platform
         * @param token the token
         */
        public Processes {
            callerAddresses = List.copyOf(callerAddresses);
            administrationAddresses = List.copyOf(administrationAddresses);
            entryHostProcessIds = List.copyOf(entryHostProcessIds);
            servers = List.copyOf(servers);
        }
    }
}
