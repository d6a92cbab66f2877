package org.siskinramp.daemon.exchange;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Sends HTTP requests, one at a time on each connection, and opens a connection only when a request
 * needs one. It never retries, follows redirects, decodes bodies or keeps cookies.
 */
public final class HttpExchanger {

    /** The parser tells this by the end of its message only. */
    private static final String HEAD_TOO_LARGE = "Too Large";

    private final HttpClient client;
    private final ExchangeOptions options;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final Counters counters;
    private final ConnectionPool pool;
    private final AnswerMemory answerMemory;

    /**
     * Creates an exchanger, which must be started before use.
     *
     * @param name the name of its threads
     * @param options the limits
     * @param clock tells the time
     * @param scheduler ends the wait for a connection
     * @param eventLog is told of connections that went silent
     * @param counters counts connections that went silent
     */
    public HttpExchanger(
            String name,
            ExchangeOptions options,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog,
            Counters counters) {
        this.options = options;
        this.clock = clock;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
        this.counters = counters;
        this.pool = new ConnectionPool(clock);
        this.answerMemory = new AnswerMemory(options.answersLimitBytes());
        this.client = newClient(name, options);
    }

    private static HttpClient newClient(String name, ExchangeOptions options) {
        ClientConnector connector = new StrictConnector();
        connector.setSelectors(1);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(options.threads(), 4);
        threads.setName(name);
        client.setExecutor(threads);
        client.setConnectTimeout(options.connectTimeoutMilliseconds());
        client.setIdleTimeout(options.idleTimeoutMilliseconds());
        client.setMaxRequestHeadersSize(options.headerLimitBytes());
        client.setMaxResponseHeadersSize(options.headerLimitBytes());
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        return client;
    }

    /** Starts the threads. */
    public void start() {
        try {
            client.start();
        } catch (Exception failure) {
            throw new ResultException(ResultCode.INVARIANT_VIOLATED, "http client", failure);
        }
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
    }

    /** Closes all connections and stops the threads. */
    public void stop() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new ResultException(ResultCode.INVARIANT_VIOLATED, "http client", failure);
        }
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the exchange
     */
    public ExchangeCall send(ExchangeRequest request) {
        Exchange exchange =
                new Exchange(
                        request,
                        options,
                        clock,
                        this,
                        connection -> keep(request.address(), connection));
        pool.take(request.address(), request.idleLimitMilliseconds())
                .ifPresentOrElse(exchange::sendOn, () -> open(exchange));
        return exchange;
    }

    /** Opens a connection for an exchange, whatever is idle. */
    void open(Exchange exchange) {
        ExchangeRequest request = exchange.request();
        long leftMilliseconds = exchange.leftMilliseconds();
        if (leftMilliseconds < options.connectTimeoutMilliseconds()) {
            scheduler.schedule(Math.max(0, leftMilliseconds), exchange::connectTimedOut);
        }
        client.resolveDestination(newJettyRequest(request))
                .newConnection(
                        new Promise<Connection>() {
                            @Override
                            public void succeeded(Connection connection) {
                                exchange.sendOn(new PooledConnection(connection, clock));
                            }

                            @Override
                            public void failed(Throwable failure) {
                                exchange.connectFailed(failure);
                            }
                        });
    }

    AnswerMemory answerMemory() {
        return answerMemory;
    }

    /** Tells whether an answer failed since its head passed the limit. */
    static boolean isHeadTooLarge(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof HttpException parsed
                    && String.valueOf(parsed.getReason()).endsWith(HEAD_TOO_LARGE)) {
                return true;
            }
            cause = cause.getCause();
        }
        return false;
    }

    Request newJettyRequest(ExchangeRequest request) {
        return client.newRequest(request.address().host(), request.address().port());
    }

    /** Keeps a connection for the next exchange. */
    void keep(ServerAddress address, PooledConnection connection) {
        pool.give(address, connection);
    }

    /** Drops the connections that are as old as one that went silent. */
    void wentSilent(ServerAddress address, long sentMilliseconds) {
        int closed = 1 + pool.closeOpenedUpTo(address, sentMilliseconds);
        counters.add(Counter.SILENT_CONNECTIONS, closed);
        eventLog.record(
                LogEvent.named("connections_silent")
                        .with("address", address)
                        .with("closed", closed));
    }
}
