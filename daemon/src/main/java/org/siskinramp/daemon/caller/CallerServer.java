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
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/**
 * Listens for callers.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(handler, configuration, clock, log, counters, options);
 * server.start();
 * int port = server.port();
 * }</pre>
 */
public final class CallerServer {

    private final CallerServerOptions options;
    private final EventLog eventLog;
    private final CallerHandler handler;
    private final SidePages pages;
    private final Server server;
    private final ServerConnector connector;

    /**
     * Creates the server of the project's own interface, which must be started before use.
     *
     * @param handler answers the requests
     * @param configuration gives the configuration in force
     * @param clock tells the time
     * @param eventLog is told of refusals and of callers that went away
     * @param counters counts requests that are refused here
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
                        new RequestHeadReader(
                                configuration, clock, options.defaultDeadlineMilliseconds()),
                        handler),
                clock,
                eventLog,
                counters,
                options);
    }

    /**
     * Creates the server for any protocol, which must be started before use.
     *
     * @param protocol what the callers speak
     * @param clock tells the time
     * @param eventLog is told of refusals and of callers that went away
     * @param counters counts requests that are refused here
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
        this.pages = new SidePages(handler);
        this.server = newServer();
        this.connector = newConnector();
    }

    private Server newServer() {
        QueuedThreadPool threads =
                new QueuedThreadPool(options.threads(), Math.min(4, options.threads()));
        threads.setName("caller");
        Server created = new Server(threads);
        created.setHandler(pages);
        created.setErrorHandler(new ProtocolRefusals(handler.writer()));
        created.setStopTimeout(0);
        return created;
    }

    private HttpConfiguration newConfiguration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(options.headerLimitBytes());
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setUriCompliance(UriCompliance.UNSAFE);
        return http;
    }

    private ServerConnector newConnector() {
        ServerConnector created =
                new WatchingConnector(server, new HttpConnectionFactory(newConfiguration()));
        created.setHost(options.host());
        created.setPort(options.port());
        created.setIdleTimeout(options.idleTimeoutMilliseconds());
        server.addConnector(created);
        return created;
    }

    /**
     * Serves one page at an address of its own. Call it before {@link #start}.
     *
     * @param address where to listen
     * @param path the path of the page
     * @param content makes the page
     * @return tells the port once the server has started
     */
    public IntSupplier addPage(InetSocketAddress address, String path, Supplier<SidePage> content) {
        ServerConnector side =
                new ServerConnector(server, 0, 1, new HttpConnectionFactory(newConfiguration()));
        side.setHost(address.getAddress().getHostAddress());
        side.setPort(address.getPort());
        side.setIdleTimeout(options.idleTimeoutMilliseconds());
        server.addConnector(side);
        pages.add(side, path, content);
        return side::getLocalPort;
    }

    /**
     * Starts to listen.
     *
     * @throws ResultException with {@code SETTINGS_INVALID} if an address cannot be bound
     */
    public void start() {
        try {
            server.start();
        } catch (IOException failure) {
            throw new ResultException(ResultCode.SETTINGS_INVALID, "cannot listen", failure);
        } catch (Exception failure) {
            throw new ResultException(ResultCode.INVARIANT_VIOLATED, "caller server", failure);
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
     * Returns how many requests are in progress.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return handler.openRequests().count();
    }

    /** Refuses new requests from now on; those in progress go on. */
    public void refuseNewRequests() {
        handler.refuseNewRequests();
    }

    /** Ends each connection with its next answer; requests are still taken. */
    public void closeConnections() {
        handler.closeConnections();
    }

    /** Takes no new connections from now on. */
    public void stopListening() {
        connector.close();
    }

    /** Refuses new requests, waits for those in progress up to the limit, and stops to listen. */
    public void stop() {
        refuseNewRequests();
        int cut = handler.openRequests().awaitNone(options.stopLimitMilliseconds());
        eventLog.record(LogEvent.named("caller_server_stopped").with("requests_cut", cut));
        try {
            server.stop();
        } catch (Exception failure) {
            throw new ResultException(ResultCode.INVARIANT_VIOLATED, "caller server", failure);
        }
    }

    /** Makes end points that notice when a caller leaves. */
    private static final class WatchingConnector extends ServerConnector {

        private static final int ACCEPTORS = 0;
        private static final int SELECTORS = 1;

        private WatchingConnector(Server server, HttpConnectionFactory factory) {
            super(server, ACCEPTORS, SELECTORS, factory);
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint =
                    new WatchedEndPoint(channel, selector, key, getScheduler(), getExecutor());
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }
    }
}
