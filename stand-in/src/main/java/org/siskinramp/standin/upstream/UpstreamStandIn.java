package org.siskinramp.standin.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.siskinramp.request.Header;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.http.HttpExchange;
import org.siskinramp.standin.http.HttpService;
import org.siskinramp.standin.http.Json;
import org.siskinramp.standin.store.StoreStandIn;

/**
 * Runs requests as a backend server of the operators' platform does, and publishes its entry in the
 * store.
 */
public final class UpstreamStandIn implements AutoCloseable {

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int SHORT_BODY_SENT_BYTES = 3;
    private static final int ENDLESS_CHUNK_BYTES = 16 * 1024;
    private static final long TRICKLE_INTERVAL_MILLISECONDS = 20;
    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 500;
    private static final long CANCELLATION_CHECK_INTERVAL_MILLISECONDS = 20;
    private static final String REQUEST_ID = "X-Siskinramp-Request-Id";
    private static final byte[] STRAY_REFUSAL =
            """
            HTTP/1.1 503 Service Unavailable
            X-Siskinramp-Not-Executed: 1
            Content-Length: 0

            """
                    .replace("\n", "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
    private static final String HEALTH_PATH = "/health";

    /**
     * A store removes an entry that was not renewed for three heartbeat intervals. The store
     * stand-in does not, so a crashed server removes its own entry after that time.
     */
    private static final long ENTRY_EXPIRY_MILLISECONDS = 3 * HEARTBEAT_INTERVAL_MILLISECONDS;

    /**
     * The last start time that a server got. Start times count up by 1 ms from the time at which
     * this class was loaded, so that each start gets a later one.
     */
    private static final AtomicLong LAST_START_MILLISECONDS =
            new AtomicLong(System.currentTimeMillis());

    private final String initialIdentity;
    private volatile String identity;
    private final String service;
    private final String zone;
    private final int slots;
    private volatile long serviceTimeMilliseconds;
    private final StoreStandIn store;
    private final HttpService http;
    private final WorkerScheduler workers = new WorkerScheduler(1);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger cancelledRequests = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private volatile long startedMilliseconds = LAST_START_MILLISECONDS.incrementAndGet();
    private volatile Consumer<String> crashListener = requestId -> {};
    private volatile RunListener runListener = RunListener.NONE;
    private volatile String crashPathPrefix = "";
    private volatile long restartDelayMilliseconds;
    private volatile boolean down;
    private volatile boolean keepsIdentity;
    private volatile UpstreamFault fault = UpstreamFault.NONE;
    private volatile String state = "ready";
    private volatile List<Header> additionalHeaders = List.of();
    private final AtomicInteger receivedRequests = new AtomicInteger();
    private volatile int minimumAnswerBytes;
    private volatile long remainingWarmUpMilliseconds;
    private volatile boolean closed;
    private volatile boolean entryRemoved;
    private volatile String publishedAddress;

    /**
     * Starts a backend server.
     *
     * @param identity the identity under which it publishes its entry
     * @param service the name of its service
     * @param zone its availability zone
     * @param slots how many requests it runs at once
     * @param serviceTimeMilliseconds how long a request takes, in milliseconds
     * @param store the store in which it publishes its entry
     */
    public UpstreamStandIn(
            String identity,
            String service,
            String zone,
            int slots,
            long serviceTimeMilliseconds,
            StoreStandIn store) {
        this.initialIdentity = identity;
        this.identity = identity;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.serviceTimeMilliseconds = serviceTimeMilliseconds;
        this.store = store;
        http = HttpService.start("127.0.0.1:0", this::handle);
        publishedAddress = http.address();
        heartbeat();
    }

    private void heartbeat() {
        if (!closed && !down && !entryRemoved) {
            publish();
        }
        if (!closed) {
            workers.schedule(HEARTBEAT_INTERVAL_MILLISECONDS, this::heartbeat);
        }
    }

    /**
     * Makes the server crash on each request whose path has a prefix: it closes all connections and
     * accepts none until it has restarted. It restarts under a new identity, unless {@link
     * #keepIdentity} was called.
     *
     * @param pathPrefix the prefix
     * @param milliseconds the time from a crash to the restart, in milliseconds
     * @param listener receives the identifier of each such request
     */
    public void crashOnPathPrefix(String pathPrefix, long milliseconds, Consumer<String> listener) {
        restartDelayMilliseconds = milliseconds;
        crashListener = listener;
        crashPathPrefix = pathPrefix;
    }

    /** Makes the server restart under its first identity from now on. */
    public void keepIdentity() {
        keepsIdentity = true;
    }

    private synchronized void crash() {
        if (down || closed) {
            return;
        }
        down = true;
        crashes.incrementAndGet();
        String crashedIdentity = identity;
        workers.schedule(0, http::stopListening);
        workers.schedule(ENTRY_EXPIRY_MILLISECONDS, () -> expireEntry(crashedIdentity));
        workers.schedule(restartDelayMilliseconds, this::restart);
    }

    private synchronized void expireEntry(String crashedIdentity) {
        if (down || !identity.equals(crashedIdentity)) {
            store.remove("servers", crashedIdentity);
        }
    }

    private synchronized void restart() {
        if (closed) {
            return;
        }
        identity = keepsIdentity ? initialIdentity : initialIdentity + "-" + crashes.get();
        startedMilliseconds = LAST_START_MILLISECONDS.incrementAndGet();
        sequence.set(0);
        running.set(0);
        http.resumeListening();
        down = false;
        publish();
    }

    /**
     * Returns how often the server has crashed.
     *
     * @return the number of crashes
     */
    public int crashCount() {
        return crashes.get();
    }

    private void publish() {
        Map<String, Object> entry =
                Map.of(
                        "service", service,
                        "address", publishedAddress,
                        "zone", zone,
                        "version", "v1",
                        "concurrency", slots,
                        "state", state,
                        "warmup_left_ms", remainingWarmUpMilliseconds,
                        "sequence", sequence.incrementAndGet(),
                        "born", startedMilliseconds);
        store.put("servers", identity, new String(Json.write(entry), StandardCharsets.UTF_8));
    }

    /**
     * Sets the fault that is injected from now on.
     *
     * @param value the fault
     */
    public void setFault(UpstreamFault value) {
        fault = value;
    }

    /**
     * Sets the service time of requests that arrive from now on.
     *
     * @param milliseconds the service time of each request, in milliseconds
     */
    public void setServiceTime(long milliseconds) {
        serviceTimeMilliseconds = milliseconds;
    }

    /**
     * Sets the size of answers that end from now on; shorter ones are padded with zero bytes.
     *
     * @param bytes the size of a body, in bytes
     */
    public void setMinimumAnswerBytes(int bytes) {
        minimumAnswerBytes = bytes;
    }

    /**
     * Sets the remaining warm-up time that the server publishes and reports. The value does not
     * decrease with time.
     *
     * @param milliseconds the remaining warm-up time, in milliseconds
     */
    public void setRemainingWarmUp(long milliseconds) {
        remainingWarmUpMilliseconds = milliseconds;
        publish();
    }

    /**
     * Sets headers that are added to probe answers, to answers of requests that ran and to refusals
     * because of overload.
     *
     * @param headers the headers, such as one that announces that the server will stop
     */
    public void setAdditionalHeaders(Header... headers) {
        additionalHeaders = List.of(headers);
    }

    /**
     * Returns how many requests and probes the server has received.
     *
     * @return the number of requests and probes
     */
    public int receivedRequestCount() {
        return receivedRequests.get();
    }

    /**
     * Returns the current identity of the server.
     *
     * @return the identity under which it publishes its entry
     */
    public String identity() {
        return identity;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return http.address();
    }

    /**
     * Publishes another address than the one on which the server listens, such as that of a proxy.
     *
     * @param address the address as {@code ip:port}
     */
    public void publishAt(String address) {
        publishedAddress = address;
        publish();
    }

    /** Publishes that the server drains; probes are answered 503 from now on. */
    public void drain() {
        state = "draining";
        publish();
    }

    /** Removes the entry of the server without draining; the server continues to serve. */
    public void removeEntry() {
        entryRemoved = true;
        workers.schedule(0, () -> store.remove("servers", identity));
    }

    /**
     * Sets a listener that is notified when requests start and end.
     *
     * @param listener the listener
     */
    public void setRunListener(RunListener listener) {
        runListener = listener;
    }

    /**
     * Returns how often the server started to run each request.
     *
     * @return the number of runs by request identifier
     */
    public Map<String, Integer> runs() {
        return Map.copyOf(runs);
    }

    /**
     * Returns how many requests were cancelled, that is, their connection was closed while they
     * ran.
     *
     * @return the number of cancelled requests
     */
    public int cancelledRequestCount() {
        return cancelledRequests.get();
    }

    private void handle(HttpExchange exchange) {
        receivedRequests.incrementAndGet();
        runListener.received(exchange.fields());
        if (exchange.path().equals(HEALTH_PATH)) {
            answerHealthCheck(exchange);
            return;
        }
        if (down) {
            exchange.drop();
            return;
        }
        String target = exchange.header("X-Siskinramp-Target-Instance").orElse(identity);
        if (!target.equals(identity)) {
            exchange.answer(
                    MISDIRECTED,
                    List.of(
                            new Header("X-Siskinramp-Instance-Id", identity),
                            requestIdHeader(exchange)),
                    new byte[0]);
        } else if (!crashPathPrefix.isEmpty() && exchange.path().startsWith(crashPathPrefix)) {
            crashListener.accept(exchange.header(REQUEST_ID).orElse(""));
            crash();
        } else if (fault == UpstreamFault.RESET_WHEN_FULL && running.get() >= slots * 3 / 4) {
            runs.merge(exchange.header(REQUEST_ID).orElse(""), 1, Integer::sum);
            exchange.drop();
        } else if (fault == UpstreamFault.SHED || running.incrementAndGet() > slots) {
            if (fault != UpstreamFault.SHED) {
                running.decrementAndGet();
            }
            exchange.answer(
                    UNAVAILABLE,
                    withAdditionalHeaders(
                            new Header("X-Siskinramp-Not-Executed", "1"),
                            requestIdHeader(exchange),
                            loadHeader()),
                    new byte[0]);
        } else {
            String requestId = exchange.header(REQUEST_ID).orElse("");
            runs.merge(requestId, 1, Integer::sum);
            runListener.started(requestId);
            int crashesAtStart = crashes.get();
            workers.schedule(serviceTimeMilliseconds, () -> finish(exchange, crashesAtStart));
            workers.schedule(
                    CANCELLATION_CHECK_INTERVAL_MILLISECONDS, () -> checkCancellation(exchange, 0));
        }
    }

    private void answerHealthCheck(HttpExchange exchange) {
        List<Header> headers = withAdditionalHeaders();
        headers.add(new Header("X-Siskinramp-Instance-Id", identity));
        headers.add(
                new Header("X-Siskinramp-Warmup-Ms", Long.toString(remainingWarmUpMilliseconds)));
        headers.add(loadHeader());
        exchange.answer(state.equals("ready") ? OK : UNAVAILABLE, headers, new byte[0]);
    }

    private List<Header> withAdditionalHeaders(Header... headers) {
        List<Header> all = new ArrayList<>(additionalHeaders);
        all.addAll(List.of(headers));
        return all;
    }

    private static Header requestIdHeader(HttpExchange exchange) {
        return new Header(REQUEST_ID, exchange.header(REQUEST_ID).orElse(""));
    }

    private Header loadHeader() {
        return new Header("X-Siskinramp-Upstream-Load", running + ",0," + slots + ",100");
    }

    private void checkCancellation(HttpExchange exchange, long checkedMilliseconds) {
        if (exchange.isCancelled()) {
            cancelledRequests.incrementAndGet();
            runListener.ended(exchange.header(REQUEST_ID).orElse(""));
        } else if (checkedMilliseconds < serviceTimeMilliseconds) {
            workers.schedule(
                    CANCELLATION_CHECK_INTERVAL_MILLISECONDS,
                    () ->
                            checkCancellation(
                                    exchange,
                                    checkedMilliseconds
                                            + CANCELLATION_CHECK_INTERVAL_MILLISECONDS));
        }
    }

    private void finish(HttpExchange exchange, int crashesAtStart) {
        if (down || crashesAtStart != crashes.get()) {
            exchange.drop();
            return;
        }
        running.decrementAndGet();
        String requestId = exchange.header(REQUEST_ID).orElse("");
        runListener.ended(requestId);
        byte[] text =
                (exchange.method() + " " + exchange.path() + " " + exchange.body().length)
                        .getBytes(StandardCharsets.UTF_8);
        byte[] body = Arrays.copyOf(text, Math.max(text.length, minimumAnswerBytes));
        List<Header> headers = withAdditionalHeaders();
        headers.add(
                new Header(
                        REQUEST_ID, fault == UpstreamFault.OTHER_REQUEST ? "another" : requestId));
        headers.add(loadHeader());
        if (fault != UpstreamFault.NO_SIGNATURE) {
            headers.add(new Header("X-Siskinramp-Upstream-Signature", "s." + identity));
        }
        switch (fault) {
            case LOSE_ANSWER -> exchange.drop();
            case HANG -> {
                // The request is never answered.
            }
            case ENDLESS_BODY ->
                    exchange.answerEndlessly(OK, headers, new byte[ENDLESS_CHUNK_BYTES], 0);
            case ENDLESS_TRICKLE ->
                    exchange.answerEndlessly(
                            OK, headers, new byte[1], TRICKLE_INTERVAL_MILLISECONDS);
            case ENDLESS_HEAD -> exchange.sendEndlessHead(ENDLESS_CHUNK_BYTES);
            case SHORT_BODY -> exchange.answerTruncated(OK, headers, body, SHORT_BODY_SENT_BYTES);
            case STRAY_REFUSAL -> exchange.answerAfterStrayBytes(STRAY_REFUSAL, OK, headers, body);
            case FALSE_PROMISE -> exchange.answer(UNAVAILABLE, headers, body);
            default -> exchange.answer(OK, headers, body);
        }
    }

    @Override
    public void close() {
        closed = true;
        http.close();
        workers.close();
    }
}
