package org.siskinramp.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;

/**
 * Holds the validated settings of a gateway. Sizes are in bytes and times in milliseconds.
 *
 * @param host the name and the availability zone of this host
 * @param callers the server that receives the requests of callers
 * @param pages the addresses for readiness checks and metrics
 * @param store access to the platform's store
 * @param peers the communication with the other hosts
 * @param routing how backend servers are chosen
 * @param log the settings of the log
 * @param operatorLimits limits that the operators' platform sets, by the names of the platform
 */
public record GatewaySettings(
        Settings.Host host,
        Callers callers,
        Pages pages,
        Store store,
        Peers peers,
        Routing routing,
        Settings.Log log,
        Map<String, Double> operatorLimits) {

    /**
     * Copies the map so that the settings cannot change.
     *
     * @param host the name and the availability zone of this host
     * @param callers the server that receives the requests of callers
     * @param pages the addresses for readiness checks and metrics
     * @param store access to the platform's store
     * @param peers the communication with the other hosts
     * @param routing how backend servers are chosen
     * @param log the settings of the log
     * @param operatorLimits the limits
     */
    public GatewaySettings {
        operatorLimits = Map.copyOf(operatorLimits);
    }

    /**
     * Settings of the server that receives the requests of callers.
     *
     * @param address the address to listen on
     * @param headerLimitBytes the maximum total size of the headers of a request
     * @param bodyLimitBytes the maximum size of the body of a request
     * @param totalBodyLimitBytes the maximum total size of the bodies of all requests in progress
     * @param answerLimitBytes the maximum size of an answer of a backend server
     * @param totalAnswerLimitBytes the maximum total size of all answers that are being read
     * @param idleTimeoutMilliseconds the idle timeout of connections
     * @param concurrentRequestLimit the maximum number of requests in progress
     */
    public record Callers(
            InetSocketAddress address,
            int headerLimitBytes,
            int bodyLimitBytes,
            int totalBodyLimitBytes,
            int answerLimitBytes,
            int totalAnswerLimitBytes,
            int idleTimeoutMilliseconds,
            int concurrentRequestLimit) {}

    /**
     * Settings of the HTTP pages for monitoring.
     *
     * @param readiness the address to serve the readiness check on
     * @param metrics the address to serve the metrics on
     */
    public record Pages(InetSocketAddress readiness, InetSocketAddress metrics) {}

    /**
     * Settings of the access to the platform's store.
     *
     * @param address the base URL of the store
     * @param requestTimeoutMilliseconds the timeout of a call, in addition to the wait of a long
     *     poll
     * @param serverIntervalMilliseconds the maximum interval between reads of the backend servers'
     *     entries
     * @param operatorWaitMilliseconds how long a long poll waits for a change by an operator
     */
    public record Store(
            URI address,
            int requestTimeoutMilliseconds,
            int serverIntervalMilliseconds,
            int operatorWaitMilliseconds) {}

    /**
     * Settings of the communication with the other hosts.
     *
     * @param address the address to listen on for messages of other hosts
     * @param firstStart whether all hosts of the deployment start for the first time; each then
     *     delays its reads of the store, so that a few hosts, the readers, can read its tables for
     *     the others
     * @param seeds the addresses of hosts to ask for updates when the store cannot be read at the
     *     start, as {@code ip:port}
     */
    public record Peers(InetSocketAddress address, boolean firstStart, List<String> seeds) {

        /**
         * Copies the list so that the settings cannot change.
         *
         * @param address the address to listen on
         * @param firstStart whether all hosts of the deployment start for the first time
         * @param seeds the addresses of hosts to ask for updates
         */
        public Peers {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * Settings of the choice of backend servers.
     *
     * @param candidates how many backend servers are probed for their load before a request is
     *     placed
     * @param crossZonePatienceMilliseconds how long a request waits for a backend server in the
     *     host's own availability zone before servers of other zones are included
     * @param assumedHosts how many hosts are assumed to share the budgets until they are counted
     */
    public record Routing(int candidates, int crossZonePatienceMilliseconds, int assumedHosts) {}
}
