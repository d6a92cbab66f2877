package org.siskinramp.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;

/**
 * Holds the validated settings of an entry host. Sizes are in bytes and times in milliseconds.
 *
 * @param host the name and the availability zone of this entry host
 * @param callerSide the server that receives the requests of callers
 * @param peerLink the link between entry hosts
 * @param administration the administration API
 * @param platform access to the platform's API
 * @param workers the pool of worker threads
 * @param control the timing of leases, configuration polls and shutdown
 * @param routing the choice of backend servers
 * @param log the settings of the log
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
     * The identity of this entry host.
     *
     * @param name its unique name
     * @param availabilityZone the name of its availability zone
     */
    public record Host(String name, String availabilityZone) {}

    /**
     * Settings of the server that receives the requests of callers.
     *
     * @param address the address to listen on
     * @param headerLimitBytes the maximum total size of the headers of a request
     * @param bodyLimitBytes the maximum size of the body of a request
     * @param answerLimitBytes the maximum size of an answer of a backend server
     * @param idleTimeoutMilliseconds the idle timeout of connections
     * @param concurrentRequestLimit the maximum number of requests in progress
     * @param defaultDeadlineMilliseconds the deadline of requests without a {@code
     *     Request-Deadline} header, counted from the arrival of the request
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
     * Settings of the link between entry hosts.
     *
     * @param address the address to listen on
     * @param frameLimitBytes the maximum size of a frame
     */
    public record PeerLink(InetSocketAddress address, int frameLimitBytes) {}

    /**
     * Settings of the administration API.
     *
     * @param address the address to listen on
     * @param tokenFile the file that contains the bearer token
     */
    public record Administration(InetSocketAddress address, Path tokenFile) {}

    /**
     * Settings of the access to the platform's API.
     *
     * @param address the base URL of the API
     * @param requestTimeoutMilliseconds the timeout of a request to it
     */
    public record Platform(URI address, int requestTimeoutMilliseconds) {}

    /**
     * Settings of the pool of worker threads.
     *
     * @param count the number of threads
     */
    public record Workers(int count) {}

    /**
     * Settings of the timing of leases, configuration polls and shutdown.
     *
     * @param heartbeatIntervalMilliseconds the interval between heartbeats
     * @param leaseMilliseconds the lease term, for which an acknowledged heartbeat gives authority
     * @param configurationPollMilliseconds the interval between polls for a newer configuration
     * @param drainMilliseconds how long a host that shuts down still accepts new requests after it
     *     started to report that it is not ready
     * @param stopTimeoutMilliseconds the timeout of a graceful shutdown
     */
    public record Control(
            int heartbeatIntervalMilliseconds,
            int leaseMilliseconds,
            int configurationPollMilliseconds,
            int drainMilliseconds,
            int stopTimeoutMilliseconds) {}

    /**
     * Settings of the choice of backend servers.
     *
     * @param policy the policy, which must be the same on all entry hosts
     */
    public record Routing(RoutingPolicy policy) {}

    /**
     * Settings of the log.
     *
     * @param level the least severe level that is written
     */
    public record Log(LogLevel level) {}
}
