package org.siskinramp.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;

/**
 * Holds the checked settings of a gateway. Sizes are in bytes and times in milliseconds.
 *
 * @param host who this host is
 * @param callers the side that callers reach
 * @param pages where the pages for operators and machines are served
 * @param store the platform's store
 * @param peers the side that other hosts reach
 * @param routing how requests are placed
 * @param log the log
 * @param operatorFigures figures that the operators' platform gives by names of its own
 */
public record GatewaySettings(
        Settings.Host host,
        Callers callers,
        Pages pages,
        Store store,
        Peers peers,
        Routing routing,
        Settings.Log log,
        Map<String, Double> operatorFigures) {

    /**
     * Copies the figures so that they cannot change.
     *
     * @param host who this host is
     * @param callers the side that callers reach
     * @param pages the pages
     * @param store the platform's store
     * @param peers the side that other hosts reach
     * @param routing how requests are placed
     * @param log the log
     * @param operatorFigures the figures
     */
    public GatewaySettings {
        operatorFigures = Map.copyOf(operatorFigures);
    }

    /**
     * Describes the side that callers reach.
     *
     * @param address where it listens
     * @param headerLimitBytes the largest size of all request headers together
     * @param bodyLimitBytes the largest request body
     * @param bodiesLimitBytes how much the bodies of all open requests may hold together
     * @param answerLimitBytes the largest answer of a backend server
     * @param answersLimitBytes how much all answers that are being read may hold together
     * @param idleTimeoutMilliseconds how long a connection may be idle
     * @param concurrentRequestLimit how many requests may be open at once
     */
    public record Callers(
            InetSocketAddress address,
            int headerLimitBytes,
            int bodyLimitBytes,
            int bodiesLimitBytes,
            int answerLimitBytes,
            int answersLimitBytes,
            int idleTimeoutMilliseconds,
            int concurrentRequestLimit) {}

    /**
     * Describes where the pages for operators and machines are served.
     *
     * @param readiness the address of the page that tells whether this host is ready
     * @param metrics the address of the metrics
     */
    public record Pages(InetSocketAddress readiness, InetSocketAddress metrics) {}

    /**
     * Describes the platform's store.
     *
     * @param address its base address
     * @param requestTimeoutMilliseconds how long a call may take beyond the time that it waits
     * @param serverIntervalMilliseconds the time between reads of the backend servers' entries
     * @param operatorWaitMilliseconds how long a call waits for a change by an operator
     */
    public record Store(
            URI address,
            int requestTimeoutMilliseconds,
            int serverIntervalMilliseconds,
            int operatorWaitMilliseconds) {}

    /**
     * Describes the side that other hosts reach.
     *
     * @param address where it listens
     * @param firstStart whether all hosts of the deployment start now for the first time
     * @param seeds addresses of some other hosts, as {@code ip:port}
     */
    public record Peers(InetSocketAddress address, boolean firstStart, List<String> seeds) {

        /**
         * Copies the list so that the settings cannot change.
         *
         * @param address where it listens
         * @param firstStart whether all hosts start for the first time
         * @param seeds addresses of some other hosts
         */
        public Peers {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * Describes how requests are placed.
     *
     * @param candidates how many backend servers are asked before a request is placed
     * @param crossZonePatienceMilliseconds how long a request waits for its own availability zone
     * @param assumedHosts how many hosts share the budgets until their number is known
     */
    public record Routing(int candidates, int crossZonePatienceMilliseconds, int assumedHosts) {}
}
