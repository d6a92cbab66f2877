package org.siskinramp.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;

/**
 * Holds the checked settings of an entry host. Sizes are in bytes and times in milliseconds.
 *
 * @param host who this entry host is
 * @param callerSide the side that callers reach
 * @param peerLink the link between entry hosts
 * @param administration the administration API
 * @param platform the platform's service
 * @param workers the pool of workers
 * @param control the timing of control messages
 * @param routing the choice of backend servers
 * @param log the log
 */
public record Settings(
        Host host,
        CallerSide callerSide,
        PeerLink peerLink,
        Administration administration,
        Platform platform,
        Workers workers,
        Control control,
        Routing routing,
        Log log) {

    /**
     * Says who this entry host is.
     *
     * @param name its unique name
     * @param availabilityZone its availability zone
     */
    public record Host(String name, String availabilityZone) {}

    /**
     * Describes the side that callers reach.
     *
     * @param address where it listens
     * @param headerLimitBytes the largest size of all request headers together
     * @param bodyLimitBytes the largest request body
     * @param answerLimitBytes the largest answer of a backend server
     * @param idleTimeoutMilliseconds how long a connection may be idle
     * @param concurrentRequestLimit how many requests may be open at once
     * @param defaultDeadlineMilliseconds how long a caller waits that names no deadline
     */
    public record CallerSide(
            InetSocketAddress address,
            int headerLimitBytes,
            int bodyLimitBytes,
            int answerLimitBytes,
            int idleTimeoutMilliseconds,
            int concurrentRequestLimit,
            int defaultDeadlineMilliseconds) {}

    /**
     * Describes the link between entry hosts.
     *
     * @param address where it listens
     * @param frameLimitBytes the largest frame
     */
    public record PeerLink(InetSocketAddress address, int frameLimitBytes) {}

    /**
     * Describes the administration API.
     *
     * @param address where it listens
     * @param tokenFile the file that holds the bearer token
     */
    public record Administration(InetSocketAddress address, Path tokenFile) {}

    /**
     * Describes the platform's service.
     *
     * @param address its base address
     * @param requestTimeoutMilliseconds how long a request to it may take
     */
    public record Platform(URI address, int requestTimeoutMilliseconds) {}

    /**
     * Describes the pool of workers.
     *
     * @param count the number of workers
     */
    public record Workers(int count) {}

    /**
     * Sets the timing of control messages.
     *
     * @param heartbeatIntervalMilliseconds the time between heartbeats
     * @param leaseMilliseconds how long the acknowledgement of a heartbeat holds
     * @param configurationPollMilliseconds the time between looks for a newer configuration
     * @param drainMilliseconds how long a stopping host that is not ready still takes new requests
     * @param stopTimeoutMilliseconds how long a graceful stop may take
     */
    public record Control(
            int heartbeatIntervalMilliseconds,
            int leaseMilliseconds,
            int configurationPollMilliseconds,
            int drainMilliseconds,
            int stopTimeoutMilliseconds) {}

    /**
     * Describes the choice of backend servers.
     *
     * @param policy the policy, the same on all entry hosts
     */
    public record Routing(RoutingPolicy policy) {}

    /**
     * Describes the log.
     *
     * @param level the least severe level that is written
     */
    public record Log(LogLevel level) {}
}
