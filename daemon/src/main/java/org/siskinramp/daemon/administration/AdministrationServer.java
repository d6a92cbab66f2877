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
import org.siskinramp.daemon.metrics.Metrics;
import org.siskinramp.log.EventLog;

/** Serves the administration API, readiness and metrics on an address of their own. */
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

    private final Server server;
    private final ServerConnector connector;

    /**
     * Prepares the server.
     *
     * @param address where it listens
     * @param token what operators must show
     * @param commands carries out commands
     * @param queries answers queries
     * @param metrics what {@code /metrics} gives out
     * @param eventLog where commands are logged
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
        server.addBean(new NetworkConnectionLimit(CONNECTION_LIMIT, server));
        server.setErrorHandler(new JsonErrorHandler());
        server.setHandler(
                new AdministrationHandler(
                        new AdministrationRoutes(token, commands, queries, metrics, eventLog)));
    }

    /** Names of callers and requests may hold any character, so that slashes come encoded. */
    private static HttpConnectionFactory connectionFactory() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setUriCompliance(URI_COMPLIANCE);
        configuration.setSendServerVersion(false);
        return new HttpConnectionFactory(configuration);
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the address cannot be used
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
     * Returns where the server listens, with the port that it was given if the settings left it
     * open.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
    }

    /**
     * Stops listening and closes all connections.
     *
     * @throws IOException if the server does not stop in order
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
