package org.siskinramp.standin.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Header;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.HttpExchange;
import org.siskinramp.standin.http.HttpService;
import org.siskinramp.standin.http.Json;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Runs requests as a backend server does: in a fixed number of slots, with a cold start, load
 * shedding, deadlines, cancellation and injected faults.
 */
public final class BackendServerStandIn implements AutoCloseable {

    private static final long REQUEST_CHECK_INTERVAL_MILLISECONDS = 5;

    private final ServerSettings settings;
    private final Clock clock;
    private final Scheduler scheduler;
    private final ExecutionRecorder executionRecorder;
    private final LaggedLoad laggedLoad;
    private final RequestsInProgress requests;
    private final AnswerSwapper answerSwapper = new AnswerSwapper();
    private final HttpService service;
    private CompletableFuture<Void> drained = new CompletableFuture<>();
    private ServerFaults faults = ServerFaults.NONE;
    private int bootCount;
    private String bootIdentity;
    private boolean down;
    private boolean closed;

    private BackendServerStandIn(ServerSettings settings, Clock clock, Scheduler scheduler) {
        this.settings = settings;
        this.clock = clock;
        this.scheduler = scheduler;
        executionRecorder = new ExecutionRecorder(clock);
        laggedLoad = new LaggedLoad(clock, settings.reportLagMilliseconds());
        requests = new RequestsInProgress(settings);
        boot();
        service = HttpService.start(settings.address(), this::handle);
        scheduler.schedule(REQUEST_CHECK_INTERVAL_MILLISECONDS, this::endCancelledAndExpired);
    }

    /**
     * Starts the stand-in.
     *
     * @param settings the settings
     * @param clock the clock
     * @param scheduler runs the ends of requests and other delayed tasks
     * @return the running stand-in
     */
    public static BackendServerStandIn start(
            ServerSettings settings, Clock clock, Scheduler scheduler) {
        return new BackendServerStandIn(settings, clock, scheduler);
    }

    /**
     * Returns the address on which the stand-in listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return service.address();
    }

    /**
     * Refuses new requests from now on and finishes those in progress.
     *
     * @return a future that completes once no request is in progress
     */
    public synchronized CompletableFuture<Void> drain() {
        faults = faults.changedBy(new ServerFaults(null, null, null, true, null, null, null));
        drained = new CompletableFuture<>();
        if (requests.count() == 0) {
            drained.complete(null);
        }
        return drained.copy();
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
        }
        service.close();
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().startsWith("/-/")) {
            handleControl(exchange);
        } else {
            handleRequest(exchange);
        }
    }

    private void handleControl(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /-/load" -> exchange.answer(200, probeHeaders(), new byte[0]);
            case "POST /-/faults" -> {
                applyFaults(Json.read(exchange.body(), ServerFaults.class));
                exchange.answerJson(200, currentFaults());
            }
            case "GET /-/judge" ->
                    exchange.answerJson(
                            200, executionRecorder.statistics(settings.name(), bootIdentity()));
            case "GET /-/judge/runs" -> exchange.answerJson(200, runs(exchange));
            default ->
                    throw new ResultException(
                            ResultCode.RESOURCE_UNKNOWN, exchange.method() + " " + exchange.path());
        }
    }

    private Object runs(HttpExchange exchange) {
        String requestId = exchange.queryParameter("request_id");
        if (requestId.isEmpty()) {
            return new RunCounts(executionRecorder.runCounts());
        }
        RequestKey key = new RequestKey(exchange.queryParameter("caller"), requestId);
        return new RunTotal(executionRecorder.runsOf(key));
    }

    private synchronized ServerFaults currentFaults() {
        return faults;
    }

    private synchronized String bootIdentity() {
        return bootIdentity;
    }

    private synchronized void applyFaults(ServerFaults change) {
        faults = faults.changedBy(change);
        if (Boolean.TRUE.equals(change.cold())) {
            requests.resetWarmUp();
            renewBootIdentity();
        }
    }

    private synchronized void handleRequest(HttpExchange exchange) {
        if (down) {
            exchange.drop();
            return;
        }
        ServerRequest request = ServerRequest.of(exchange, clock.monotonicMilliseconds());
        if (faults.drain()) {
            refuse(request, "leaving");
            return;
        }
        if (faults.failFast()) {
            executionRecorder.runStarted(request.key(), request.isIdempotent());
            exchange.answer(
                    500, headers(request), Json.write(request.toAnswerBody(settings.name())));
            return;
        }
        admit(request);
    }

    private void admit(ServerRequest request) {
        requests.add(request);
        if (requests.exceedsSlots()) {
            executionRecorder.exceededSlots();
        }
        boolean exceedsColdSlots = requests.exceedsColdSlots();
        if (exceedsColdSlots) {
            executionRecorder.exceededColdSlots();
        }
        if (requests.exceedsQueueLimit()) {
            requests.remove(request);
            refuse(request, "shed");
            return;
        }
        executionRecorder.requestAccepted(requests.count());
        laggedLoad.set(requests.count());
        startWaitingRequests();
        if (exceedsColdSlots && settings.crashesOnColdOverload()) {
            crash();
        }
    }

    private void refuse(ServerRequest request, String reason) {
        executionRecorder.requestRefused();
        List<Header> headers = headers(request);
        headers.add(new Header("Not-Run", reason));
        request.exchange().answer(503, headers, new byte[0]);
    }

    private void startWaitingRequests() {
        Optional<ServerRequest> next = requests.startNext();
        while (next.isPresent()) {
            ServerRequest request = next.get();
            executionRecorder.runStarted(request.key(), request.isIdempotent());
            if (faults.crashesOn(request.bodyText())) {
                crash();
                return;
            }
            scheduler.schedule(
                    requests.drawServiceTimeMilliseconds(faults.straggle()), () -> finish(request));
            next = requests.startNext();
        }
    }

    private synchronized void finish(ServerRequest request) {
        if (request.state() != ServerRequest.State.RUNNING) {
            return;
        }
        requests.finish(request);
        if (faults.crossAnswers()) {
            deliver(answerSwapper.onFinished(request, requests.count() > 0));
        } else {
            deliver(answerSwapper.release());
            deliver(List.of(new AnswerSwapper.Delivery(request, request)));
        }
        onRequestEnded();
    }

    private void deliver(List<AnswerSwapper.Delivery> deliveries) {
        for (AnswerSwapper.Delivery delivery : deliveries) {
            HttpExchange receiver = delivery.receiver().exchange();
            List<Header> headers = headers(delivery.source());
            byte[] content = Json.write(delivery.source().toAnswerBody(settings.name()));
            if (faults.shortBody() >= 0) {
                receiver.answerTruncated(200, headers, content, faults.shortBody());
            } else {
                receiver.answer(200, headers, content);
            }
        }
    }

    private void onRequestEnded() {
        executionRecorder.requestEnded(requests.count());
        laggedLoad.set(requests.count());
        startWaitingRequests();
        if (requests.count() == 0) {
            deliver(answerSwapper.release());
        }
        if (faults.drain() && requests.count() == 0) {
            drained.complete(null);
        }
    }

    /** Ends requests whose client has closed the connection or whose deadline has passed. */
    private synchronized void endCancelledAndExpired() {
        if (closed) {
            return;
        }
        long now = clock.monotonicMilliseconds();
        for (ServerRequest request : requests.all()) {
            if (request.exchange().isCancelled()) {
                executionRecorder.requestCancelled();
                cancel(request);
            } else if (request.isExpired(now)) {
                expire(request);
            }
        }
        scheduler.schedule(REQUEST_CHECK_INTERVAL_MILLISECONDS, this::endCancelledAndExpired);
    }

    private void cancel(ServerRequest request) {
        requests.remove(request);
        request.exchange().drop();
        onRequestEnded();
    }

    private void expire(ServerRequest request) {
        boolean running = request.state() == ServerRequest.State.RUNNING;
        executionRecorder.requestExpired();
        requests.remove(request);
        if (running) {
            request.exchange().answer(504, headers(request), new byte[0]);
        } else {
            refuse(request, "shed");
        }
        onRequestEnded();
    }

    private void crash() {
        executionRecorder.serverCrashed();
        down = true;
        List<ServerRequest> lostRequests = requests.all();
        lostRequests.forEach(request -> request.setState(ServerRequest.State.ENDED));
        boot();
        laggedLoad.set(0);
        scheduler.schedule(0, () -> goDown(lostRequests));
    }

    private void goDown(List<ServerRequest> lostRequests) {
        service.stopListening();
        lostRequests.forEach(request -> request.exchange().drop());
        scheduler.schedule(settings.restartDelayMilliseconds(), this::comeUp);
    }

    private synchronized void comeUp() {
        if (!closed) {
            down = false;
            service.resumeListening();
        }
    }

    private void boot() {
        requests.reset();
        renewBootIdentity();
    }

    private void renewBootIdentity() {
        bootCount++;
        bootIdentity = settings.name() + "-" + clock.calendarMilliseconds() + "-" + bootCount;
    }

    private synchronized List<Header> probeHeaders() {
        List<Header> headers = reportHeaders();
        if (faults.drain()) {
            headers.add(new Header("Leaving", "true"));
        }
        return headers;
    }

    private List<Header> headers(ServerRequest request) {
        List<Header> headers = reportHeaders();
        headers.add(new Header("Request-Id", request.key().requestId()));
        if (!request.attemptName().isEmpty()) {
            headers.add(new Header("Attempt", request.attemptName()));
        }
        return headers;
    }

    private List<Header> reportHeaders() {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Boot-Identity", bootIdentity));
        headers.add(new Header("Load", String.format(Locale.ROOT, "%d", laggedLoad.reported())));
        return headers;
    }

    private record RunTotal(int runs) {}
}
