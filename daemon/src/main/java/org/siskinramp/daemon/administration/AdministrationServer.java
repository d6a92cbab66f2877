package org.siskinramp.daemon.administration;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.siskinramp.daemon.administration.command.AdministrationCommands;
import org.siskinramp.daemon.administration.query.AdministrationQueries;
import org.siskinramp.daemon.http.VerbatimHeaders;
import org.siskinramp.daemon.metrics.Metrics;
import org.siskinramp.log.EventLog;

/** Serves the administration API, health checks and metrics on a separate address. */
public final class AdministrationServer {

    private static final int THREADS = 8;
    private static final int CONNECTION_LIMIT = 256;
    private static final UriCompliance URI_COMPLIANCE =
            UriCompliance.DEFAULT.with(
                    "administration",
                    UriCompliance.Violation.AMBIGUOUS_PATH_SEPARATOR,
                    UriCompliance.Violation.AMBIGUOUS_PATH_ENCODING,
                    UriCompliance.Violation.SUSPICIOUS_PATH_CHARACTERS);
    private static final long IDLE_TIMEOUT_MILLISECONDS = 30_000;
    private static final long IDLE_TIMEOUT_AT_LIMIT_MILLISECONDS = 1_000;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Creates a server, which must be started.
     *
     * @param address the address to listen on
     * @param token the bearer token that commands and queries require
     * @param commands carries out commands
     * @param queries answers queries
     * @param metrics the metrics that {@code /metrics} returns
     * @param eventLog records commands and requests without a valid token
     */
    public AdministrationServer(
            InetSocketAddress address,
            AdministrationToken token,
            AdministrationCommands commands,
            AdministrationQueries queries,
            Metrics metrics,
            EventLog eventLog) {
        QueuedThreadPool threads = new QueuedThreadPool(THREADS, 1);
        threads.setName("administration");
        server = new Server(threads);
        connector = new ServerConnector(server, 1, 1, connectionFactory());
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLISECONDS);
        server.addConnector(connector);
        server.addBean(connectionLimit(server));
        server.setErrorHandler(new JsonErrorHandler());
        server.setHandler(
                new AdministrationHandler(
                        new AdministrationRoutes(token, commands, queries, metrics, eventLog)));
    }

    /** Limits the connections; at the limit, idle ones are closed soon, so that others get in. */
    private static NetworkConnectionLimit connectionLimit(Server server) {
        NetworkConnectionLimit limit = new NetworkConnectionLimit(CONNECTION_LIMIT, server);
        limit.setEndPointIdleTimeout(IDLE_TIMEOUT_AT_LIMIT_MILLISECONDS);
        return limit;
    }

    /** Accepts encoded slashes in paths, since caller names and request ids may contain slashes. */
    private static HttpConnectionFactory connectionFactory() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setUriCompliance(URI_COMPLIANCE);
        configuration.setSendServerVersion(false);
        VerbatimHeaders.setUp(configuration);
        return new HttpConnectionFactory(configuration);
    }

    /**
     * Starts the server.
     *
     * @throws IOException if it cannot listen on the address
     */
    public void start() throws IOException {
        try {
            server.start();
        } catch (IOException failure) {
            throw failure;
        } catch (Exception failure) {
            throw new IOException(failure);
        }
    }

    /**
     * Returns the address that the server listens on, with the actual port if the port in the
     * settings is 0.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
    }

    /**
     * Stops listening and closes all connections.
     *
     * @throws IOException if the server fails to stop
     */
    public void stop() throws IOException {
        try {
            server.stop();
        } catch (IOException failure) {
            throw failure;
        } catch (Exception failure) {
            throw new IOException(failure);
        }
    }
}
