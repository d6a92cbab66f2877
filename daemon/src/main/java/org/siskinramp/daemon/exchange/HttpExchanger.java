package org.siskinramp.daemon.exchange;

import java.util.Optional;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.siskinramp.daemon.http.VerbatimHeaders;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Sends HTTP requests, one at a time per connection, and opens connections on demand. It follows no
 * redirects, decodes no bodies, stores no cookies, and never sends a request twice.
 */
public final class HttpExchanger {

    /** End of the parser's message, the only sign of headers that exceed the limit. */
    private static final String HEAD_TOO_LARGE = "Too Large";

    private final HttpClient client;
    private final ExchangeOptions options;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final Counters counters;
    private final ConnectionPool pool;
    private final AnswerBufferLimiter answerBufferLimiter;

    /**
     * Creates an exchanger, which must be started before use.
     *
     * @param name the name of its threads
     * @param options the limits
     * @param clock tells the time
     * @param scheduler runs the timeout for opening a connection
     * @param eventLog receives events about connections that stopped responding
     * @param counters counts connections that stopped responding
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
        this.answerBufferLimiter = new AnswerBufferLimiter(options.totalAnswerLimitBytes());
        this.client = newClient(name, options);
    }

    private static HttpClient newClient(String name, ExchangeOptions options) {
        ClientConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        VerbatimHeaders.setUp(transport);
        HttpClient client = new HttpClient(transport);
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
            throw new ResultException(ResultCode.INVARIANT_VIOLATED, "HTTP client", failure);
        }
        client.getProtocolHandlers().clear();
        // Without it, an exchange never ends if the server sends an informational answer.
        client.getProtocolHandlers().put(new ContinueProtocolHandler());
        client.getContentDecoderFactories().clear();
    }

    /** Closes all connections and stops the threads. */
    public void stop() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new ResultException(ResultCode.INVARIANT_VIOLATED, "HTTP client", failure);
        }
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the exchange
     */
    public ExchangeCall send(ExchangeRequest request) {
        ExchangeCall call = prepare(request);
        call.start();
        return call;
    }

    /**
     * Prepares an exchange, which can be cancelled from then on.
     *
     * @param request the request
     * @return the exchange, which sends nothing before it is started
     */
    public ExchangeCall prepare(ExchangeRequest request) {
        return new Exchange(
                request,
                options,
                clock,
                this,
                connection -> releaseConnection(request.address(), connection));
    }

    /** Sends the request of an exchange on an idle connection, or on a new one. */
    void start(Exchange exchange) {
        ExchangeRequest request = exchange.request();
        pool.take(request.address(), request.idleLimitMilliseconds())
                .ifPresentOrElse(exchange::sendOn, () -> openConnection(exchange));
    }

    /** Opens a new connection for an exchange, even if idle ones exist. */
    void openConnection(Exchange exchange) {
        try {
            connect(exchange);
        } catch (RuntimeException | Error failure) {
            exchange.failUnexpectedly(failure);
        }
    }

    private void connect(Exchange exchange) {
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

    AnswerBufferLimiter answerBufferLimiter() {
        return answerBufferLimiter;
    }

    /** Tells whether an answer failed because its headers exceeded the limit. */
    static boolean isHeadTooLarge(Throwable failure) {
        return findParseFailure(failure)
                .filter(parsed -> String.valueOf(parsed.getReason()).endsWith(HEAD_TOO_LARGE))
                .isPresent();
    }

    /** Tells whether the answer could not be parsed. */
    static boolean isMalformed(Throwable failure) {
        return findParseFailure(failure).isPresent();
    }

    private static Optional<HttpException> findParseFailure(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof HttpException parsed) {
                return Optional.of(parsed);
            }
            cause = cause.getCause();
        }
        return Optional.empty();
    }

    void countInvalidAnswer() {
        counters.add(Counter.ANSWERS_INVALID);
    }

    Request newJettyRequest(ExchangeRequest request) {
        return client.newRequest(request.address().host(), request.address().port());
    }

    /** Returns a connection to the pool for the next exchange. */
    void releaseConnection(ServerAddress address, PooledConnection connection) {
        pool.release(address, connection);
    }

    /** Closes the idle connections to a server that were opened before an unanswered request. */
    void handleSilentConnection(ServerAddress address, long sentMilliseconds) {
        int closed = 1 + pool.closeOpenedUpTo(address, sentMilliseconds);
        counters.add(Counter.SILENT_CONNECTIONS, closed);
        eventLog.record(
                LogEvent.named("connections_silent")
                        .with("address", address)
                        .with("closed", closed));
    }
}
