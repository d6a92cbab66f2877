package org.siskinramp.daemon.caller;

import java.util.function.Supplier;
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
    private final Server server;
    private final ServerConnector connector;

    /**
     * Creates the server, which must be started before use.
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
        this.options = options;
        this.eventLog = eventLog;
        RequestHeadReader reader =
                new RequestHeadReader(configuration, clock, options.defaultDeadlineMilliseconds());
        this.handler = new CallerHandler(handler, reader, clock, options, eventLog, counters);
        this.server = newServer();
        this.connector = newConnector();
    }

    private Server newServer() {
        QueuedThreadPool threads = new QueuedThreadPool(options.threads(), 4);
        threads.setName("caller");
        Server created = new Server(threads);
        created.setHandler(handler);
        created.setErrorHandler(new ProtocolRefusals());
        created.setStopTimeout(0);
        return created;
    }

    private ServerConnector newConnector() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(options.headerLimitBytes());
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        ServerConnector created =
                new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        created.setHost(options.host());
        created.setPort(options.port());
        created.setIdleTimeout(options.idleTimeoutMilliseconds());
        server.addConnector(created);
        return created;
    }

    /** Starts to listen. */
    public void start() {
        try {
            server.start();
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
}
