package org.siskinramp.daemon.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.daemon.http.VerbatimHeaders;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/**
 * Accepts the HTTP/1.1 connections of callers and answers their requests.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(handler, configuration, clock, log, counters, options);
 * server.start();
 * int port = server.port();
 * }</pre>
 */
public final class CallerServer {

    /** Room for the largest head that is accepted from a backend server, and headers of our own. */
    private static final int ANSWER_HEAD_LIMIT_BYTES = 40 * 1024;

    private final CallerServerOptions options;
    private final EventLog eventLog;
    private final CallerHandler handler;
    private final ManagementPageHandler managementPages;
    private final Server server;
    private final ServerConnector connector;

    /**
     * Creates a server for the standard caller protocol; it must be started before use.
     *
     * @param handler processes the requests
     * @param configuration supplies the configuration in force
     * @param clock the source of time
     * @param eventLog logs refusals and answers that could not be delivered
     * @param counters counts the requests that this server refuses
     * @param options the address and the limits
     */
    public CallerServer(
            RequestHandler handler,
            Supplier<Configuration> configuration,
            Clock clock,
            EventLog eventLog,
            Counters counters,
            CallerServerOptions options) {
        this(
                new StandardCallerProtocol(
                        new RequestHeadReader(configuration, options.defaultDeadlineMilliseconds()),
                        handler),
                clock,
                eventLog,
                counters,
                options);
    }

    /**
     * Creates a server for a given protocol; it must be started before use.
     *
     * @param protocol the protocol of the callers
     * @param clock the source of time
     * @param eventLog logs refusals and answers that could not be delivered
     * @param counters counts the requests that this server refuses
     * @param options the address and the limits
     */
    public CallerServer(
            CallerProtocol protocol,
            Clock clock,
            EventLog eventLog,
            Counters counters,
            CallerServerOptions options) {
        this.options = options;
        this.eventLog = eventLog;
        this.handler = new CallerHandler(protocol, clock, options, eventLog, counters);
        this.managementPages = new ManagementPageHandler(handler);
        this.server = newServer();
        this.connector = newConnector();
    }

    private Server newServer() {
        QueuedThreadPool threads =
                new QueuedThreadPool(options.threads(), Math.min(4, options.threads()));
        threads.setName("caller");
        Server created = new Server(threads);
        created.setHandler(managementPages);
        created.setErrorHandler(new ProtocolErrorHandler(handler.writer()));
        created.setStopTimeout(0);
        return created;
    }

    private HttpConfiguration newConfiguration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(options.headerLimitBytes());
        http.setMaxResponseHeaderSize(ANSWER_HEAD_LIMIT_BYTES);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setUriCompliance(UriCompliance.UNSAFE);
        VerbatimHeaders.setUp(http);
        return http;
    }

    private ServerConnector newConnector() {
        ServerConnector created =
                new CloseDetectingConnector(
                        server,
                        new HttpConnectionFactory(newConfiguration()),
                        handler.connectionParts());
        created.setHost(options.host());
        created.setPort(options.port());
        created.setIdleTimeout(options.idleTimeoutMilliseconds());
        server.addConnector(created);
        return created;
    }

    /**
     * Serves one management page on a separate address. Must be called before {@link #start}.
     *
     * @param address the address to listen on
     * @param path the path of the page
     * @param content renders the page for each request
     * @return supplies the local port once the server has started
     */
    public IntSupplier addPage(
            InetSocketAddress address, String path, Supplier<ManagementPage> content) {
        ServerConnector pageConnector =
                new ServerConnector(server, 0, 1, new HttpConnectionFactory(newConfiguration()));
        pageConnector.setHost(address.getAddress().getHostAddress());
        pageConnector.setPort(address.getPort());
        pageConnector.setIdleTimeout(options.idleTimeoutMilliseconds());
        server.addConnector(pageConnector);
        managementPages.add(pageConnector, path, content);
        return pageConnector::getLocalPort;
    }

    /**
     * Starts to accept connections.
     *
     * @throws ResultException with {@code SETTINGS_INVALID} if an address cannot be bound
     */
    public void start() {
        try {
            server.start();
        } catch (IOException failure) {
            throw new ResultException(ResultCode.SETTINGS_INVALID, "cannot listen", failure);
        } catch (Exception failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "caller server failed to start", failure);
        }
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of requests
     */
    public int requestsInProgress() {
        return handler.admission().requestsInProgress().count();
    }

    /**
     * Returns the number of connections that are closed, but whose callers may still receive what
     * was written to them.
     *
     * @return the number of connections
     */
    public int connectionsClosing() {
        return handler.lingeringConnections().count();
    }

    /** Returns the bytes held for bodies, bytes sent ahead, and answers that wait. */
    long reservedBytes() {
        return handler.connectionParts().memoryBudget().reservedBytes();
    }

    /** Refuses new requests from now on; those in progress continue. */
    public void refuseNewRequests() {
        handler.admission().refuseNewRequests();
    }

    /**
     * Refuses requests whose deadline lies beyond a time from now on.
     *
     * @param milliseconds monotonic milliseconds
     */
    public void refuseRequestsBeyond(long milliseconds) {
        handler.admission().refuseRequestsBeyond(milliseconds);
    }

    /** Closes each connection after its next answer; requests are still accepted. */
    public void disableKeepAlive() {
        handler.admission().disableKeepAlive();
    }

    /** Accepts no new connections from now on. */
    public void stopListening() {
        connector.close();
    }

    /**
     * Refuses new requests, waits up to a timeout for those in progress, and as long for callers to
     * receive the last answers, and closes all sockets.
     */
    public void stop() {
        refuseNewRequests();
        int requestsCut =
                handler.admission()
                        .requestsInProgress()
                        .awaitNone(options.drainTimeoutMilliseconds());
        int connectionsCut =
                handler.lingeringConnections().awaitNone(options.drainTimeoutMilliseconds());
        handler.lingeringConnections().stop();
        eventLog.record(
                LogEvent.named("caller_server_stopped")
                        .with("requests_cut", requestsCut)
                        .with("connections_cut", connectionsCut));
        try {
            server.stop();
        } catch (Exception failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "caller server failed to stop", failure);
        }
    }

    /** Creates end points that detect when a caller closes its connection. */
    private static final class CloseDetectingConnector extends ServerConnector {

        private static final int ACCEPTORS = 0;
        private static final int SELECTORS = 1;

        private final ConnectionParts parts;

        private CloseDetectingConnector(
                Server server, HttpConnectionFactory factory, ConnectionParts parts) {
            super(server, ACCEPTORS, SELECTORS, factory);
            this.parts = parts;
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint =
                    new CloseDetectingEndPoint(
                            channel, selector, key, getScheduler(), getExecutor(), parts);
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }
    }
}
