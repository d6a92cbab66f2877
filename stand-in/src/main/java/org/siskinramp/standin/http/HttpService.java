package org.siskinramp.standin.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.siskinramp.daemon.http.VerbatimHeaders;
import org.siskinramp.result.ResultException;

/** An HTTP server on one loopback address. */
public final class HttpService implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
    private static final int MAXIMUM_THREADS = 16;
    private static final int MINIMUM_THREADS = 4;
    private static final int BACKLOG_CONNECTIONS = 1024;
    private static final long IDLE_MILLISECONDS = 600_000;

    private final Server server;
    private final ServerConnector connector;

    private HttpService(InetSocketAddress address, ExchangeHandler handler) {
        server = new Server(new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS));
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration()));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setAcceptQueueSize(BACKLOG_CONNECTIONS);
        connector.setIdleTimeout(IDLE_MILLISECONDS);
        connector.setShutdownIdleTimeout(0);
        server.addConnector(connector);
        server.setHandler(new BodyReader(handler));
        server.setStopTimeout(0);
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on, as {@code ip:port}; port 0 selects a free port
     * @param handler handles the requests
     * @return the running server
     */
    public static HttpService start(String address, ExchangeHandler handler) {
        HttpService service = new HttpService(Addresses.parseLoopback(address), handler);
        service.open();
        service.connector.setPort(service.connector.getLocalPort());
        return service;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return connector.getHost() + ":" + connector.getPort();
    }

    /** Closes all connections and refuses new ones. */
    public void stopListening() {
        try {
            connector.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop listening", failure);
        }
    }

    /** Listens again after {@link #stopListening}. */
    public void resumeListening() {
        try {
            connector.start();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot listen on " + address(), failure);
        }
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the HTTP server", failure);
        }
    }

    private void open() {
        try {
            server.start();
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot listen on " + address(), failure);
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start the HTTP server", failure);
        }
    }

    private static HttpConfiguration configuration() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        VerbatimHeaders.setUp(configuration);
        return configuration;
    }

    /** Reads the whole body of a request, then calls the handler. */
    private static final class BodyReader extends Handler.Abstract {

        private final ExchangeHandler handler;

        BodyReader(ExchangeHandler handler) {
            this.handler = handler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            CompletableFuture<byte[]> content = new CompletableFuture<>();
            content.thenAccept(body -> call(new HttpExchange(request, response, callback, body)))
                    .exceptionally(failure -> fail(callback, failure));
            Content.Source.asByteArrayAsync(
                    request, MAXIMUM_BODY_BYTES, Promise.Invocable.toPromise(content));
            return true;
        }

        private void call(HttpExchange exchange) {
            try {
                handler.handle(exchange);
            } catch (ResultException failure) {
                exchange.answerJson(
                        failure.code().httpStatus(), new ErrorBody(failure.getMessage()));
            }
        }

        private static Void fail(Callback callback, Throwable failure) {
            callback.failed(failure);
            return null;
        }
    }
}
