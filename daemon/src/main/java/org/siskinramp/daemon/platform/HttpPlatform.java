package org.siskinramp.daemon.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.daemon.exchange.ExchangeOptions;
import org.siskinramp.daemon.exchange.ExchangeRequest;
import org.siskinramp.daemon.exchange.HttpExchanger;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.request.Header;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Calls the platform's table service, object store and host list over HTTP. */
public final class HttpPlatform implements Platform {

    private static final List<Header> JSON_HEADERS =
            List.of(new Header("Content-Type", "application/json"));
    private static final List<Header> OCTET_STREAM_HEADERS =
            List.of(new Header("Content-Type", "application/octet-stream"));
    private static final long IDLE_LIMIT_MILLISECONDS = 1000;
    private static final int THREADS = 12;
    private static final int NOT_FOUND = 404;

    private final HttpPlatformOptions options;
    private final Clock clock;
    private final HttpExchanger exchanger;
    private final Semaphore callPermits;

    /**
     * Creates a client of the platform, which must be started before use.
     *
     * @param options the address and the limits
     * @param clock tells the time
     * @param scheduler runs the timeout for opening a connection
     * @param eventLog receives events about connections that stopped responding
     * @param counters counts connections that stopped responding
     */
    public HttpPlatform(
            HttpPlatformOptions options,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog,
            Counters counters) {
        this.options = options;
        this.clock = clock;
        this.callPermits = new Semaphore(options.callLimit());
        ExchangeOptions exchange =
                ExchangeOptions.builder()
                        .connectTimeoutMilliseconds(options.connectTimeoutMilliseconds())
                        .idleTimeoutMilliseconds(IDLE_LIMIT_MILLISECONDS)
                        .answerLimitBytes(options.answerLimitBytes())
                        .threads(THREADS)
                        .build();
        this.exchanger =
                new HttpExchanger("platform", exchange, clock, scheduler, eventLog, counters);
    }

    /** Starts the threads. */
    public void start() {
        exchanger.start();
    }

    /** Closes all connections and stops the threads. */
    public void stop() {
        exchanger.stop();
    }

    @Override
    public CompletableFuture<Void> commit(List<Write> writes) {
        ExchangeRequest request =
                request("/v1/transactions")
                        .method("POST")
                        .headers(leftMilliseconds -> JSON_HEADERS)
                        .body(PlatformBodies.transaction(writes))
                        .build();
        return write(request);
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
        ExchangeRequest request =
                request("/v1/reads")
                        .method("POST")
                        .headers(leftMilliseconds -> JSON_HEADERS)
                        .body(PlatformBodies.reads(keys))
                        .build();
        return read(request, PlatformBodies::rows);
    }

    @Override
    public CompletableFuture<List<Row>> scan(
            String table, String keyPrefix, String afterKey, int limit) {
        String target =
                "/v1/tables/%s?prefix=%s&after=%s&limit=%d"
                        .formatted(encode(table), encode(keyPrefix), encode(afterKey), limit);
        return read(request(target).build(), PlatformBodies::rows);
    }

    @Override
    public CompletableFuture<Void> putObject(String name, byte[] content) {
        ExchangeRequest request =
                request("/v1/objects/" + encode(name))
                        .method("PUT")
                        .headers(leftMilliseconds -> OCTET_STREAM_HEADERS)
                        .body(content)
                        .build();
        return write(request);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> getObject(String name) {
        return send(request("/v1/objects/" + encode(name)).build())
                .handle(
                        (answer, failure) -> {
                            if (failure == null && answer.status() == NOT_FOUND) {
                                return Optional.empty();
                            }
                            return Optional.of(PlatformResults.ofRead(answer, failure, b -> b));
                        });
    }

    @Override
    public CompletableFuture<List<String>> listObjects(String prefix) {
        return read(request("/v1/objects?prefix=" + encode(prefix)).build(), PlatformBodies::names);
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts() {
        return read(request("/v1/hosts").build(), PlatformBodies::hosts);
    }

    private ExchangeRequest.Builder request(String target) {
        return ExchangeRequest.to(options.address())
                .target(target)
                .idleLimitMilliseconds(IDLE_LIMIT_MILLISECONDS)
                .deadlineMilliseconds(
                        clock.monotonicMilliseconds() + options.timeoutMilliseconds());
    }

    private CompletableFuture<Void> write(ExchangeRequest request) {
        return send(request).handle(PlatformResults::ofWrite);
    }

    private <T> CompletableFuture<T> read(ExchangeRequest request, BodyReader<T> reader) {
        return send(request)
                .handle((answer, failure) -> PlatformResults.ofRead(answer, failure, reader));
    }

    private CompletableFuture<ExchangeAnswer> send(ExchangeRequest request) {
        if (!callPermits.tryAcquire()) {
            return CompletableFuture.failedFuture(
                    new ResultException(
                            ResultCode.PLATFORM_UNAVAILABLE,
                            "calls_in_progress=" + options.callLimit()));
        }
        return exchanger
                .send(request)
                .answer()
                .whenComplete((answer, failure) -> callPermits.release());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
