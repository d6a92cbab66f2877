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
 * shedding, deadlines, cancellation and faults on command.
 */
public final class BackendServerStandIn implements AutoCloseable {

    private static final long WATCH_MILLISECONDS = 5;

    private final ServerSettings settings;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Judge judge;
    private final LaggedLoad load;
    private final WorkerPool pool;
    private final AnswerCrossing crossing = new AnswerCrossing();
    private final HttpService service;
    private CompletableFuture<Void> drained = new CompletableFuture<>();
    private ServerFaults faults = ServerFaults.NONE;
    private int boots;
    private String bootIdentity;
    private boolean down;
    private boolean closed;

    private BackendServerStandIn(ServerSettings settings, Clock clock, Scheduler scheduler) {
        this.settings = settings;
        this.clock = clock;
        this.scheduler = scheduler;
        judge = new Judge(clock);
        load = new LaggedLoad(clock, settings.reportLagMilliseconds());
        pool = new WorkerPool(settings);
        boot();
        service = HttpService.start(settings.address(), this::handle);
        scheduler.schedule(WATCH_MILLISECONDS, this::watch);
    }

    /**
     * Starts the stand-in.
     *
     * @param settings the settings
     * @param clock the clock
     * @param scheduler what ends the timed work
     * @return the running stand-in
     */
    public static BackendServerStandIn start(
            ServerSettings settings, Clock clock, Scheduler scheduler) {
        return new BackendServerStandIn(settings, clock, scheduler);
    }

    /**
     * Returns where the stand-in listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return service.address();
    }

    /**
     * Takes no new work and finishes what is in progress.
     *
     * @return completes once nothing is in progress
     */
    public synchronized CompletableFuture<Void> drain() {
        faults = faults.changedBy(new ServerFaults(null, null, null, true, null, null, null));
        drained = new CompletableFuture<>();
        if (pool.inProgress() == 0) {
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
            control(exchange);
        } else {
            take(exchange);
        }
    }

    private void control(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /-/load" -> exchange.answer(200, probeHeaders(), new byte[0]);
            case "POST /-/faults" -> {
                change(Json.read(exchange.body(), ServerFaults.class));
                exchange.answerJson(200, currentFaults());
            }
            case "GET /-/judge" ->
                    exchange.answerJson(200, judge.verdict(settings.name(), bootIdentity()));
            case "GET /-/judge/runs" -> exchange.answerJson(200, runs(exchange));
            default ->
                    throw new ResultException(
                            ResultCode.RESOURCE_UNKNOWN, exchange.method() + " " + exchange.path());
        }
    }

    private Object runs(HttpExchange exchange) {
        String requestId = exchange.query("request_id");
        if (requestId.isEmpty()) {
            return new Runs(judge.allRuns());
        }
        RequestKey key = new RequestKey(exchange.query("caller"), requestId);
        return new RunTotal(judge.runsOf(key));
    }

    private synchronized ServerFaults currentFaults() {
        return faults;
    }

    private synchronized String bootIdentity() {
        return bootIdentity;
    }

    private synchronized void change(ServerFaults change) {
        faults = faults.changedBy(change);
        if (Boolean.TRUE.equals(change.cold())) {
            pool.turnCold();
            renewBootIdentity();
        }
    }

    private synchronized void take(HttpExchange exchange) {
        if (down) {
            exchange.drop();
            return;
        }
        Work work = Work.of(exchange, clock.monotonicMilliseconds());
        if (faults.drain()) {
            refuse(work, "leaving");
            return;
        }
        if (faults.failFast()) {
            judge.began(work.key(), work.isIdempotent());
            exchange.answer(500, headers(work), Json.write(work.answerOf(settings.name())));
            return;
        }
        admit(work);
    }

    private void admit(Work work) {
        pool.add(work);
        if (pool.isOverLimit()) {
            judge.wentOverLimit();
        }
        boolean overloadedCold = pool.isOverloadedCold();
        if (overloadedCold) {
            judge.wasOverloadedCold();
        }
        if (pool.isFull()) {
            pool.remove(work);
            refuse(work, "shed");
            return;
        }
        judge.arrived(pool.inProgress());
        load.set(pool.inProgress());
        startWaiting();
        if (overloadedCold && settings.fallsOver()) {
            fallOver();
        }
    }

    private void refuse(Work work, String reason) {
        judge.shed();
        List<Header> headers = headers(work);
        headers.add(new Header("Not-Run", reason));
        work.exchange().answer(503, headers, new byte[0]);
    }

    private void startWaiting() {
        Optional<Work> next = pool.startNext();
        while (next.isPresent()) {
            Work work = next.get();
            judge.began(work.key(), work.isIdempotent());
            if (faults.crashesOn(work.content())) {
                fallOver();
                return;
            }
            scheduler.schedule(pool.drawMilliseconds(faults.straggle()), () -> finish(work));
            next = pool.startNext();
        }
    }

    private synchronized void finish(Work work) {
        if (work.state() != Work.State.RUNNING) {
            return;
        }
        pool.finish(work);
        if (faults.crossAnswers()) {
            deliver(crossing.finished(work, pool.inProgress() > 0));
        } else {
            deliver(crossing.release());
            deliver(List.of(new AnswerCrossing.Delivery(work, work)));
        }
        afterEnd();
    }

    private void deliver(List<AnswerCrossing.Delivery> deliveries) {
        for (AnswerCrossing.Delivery delivery : deliveries) {
            HttpExchange receiver = delivery.receiver().exchange();
            List<Header> headers = headers(delivery.content());
            byte[] content = Json.write(delivery.content().answerOf(settings.name()));
            if (faults.shortBody() >= 0) {
                receiver.answerShort(200, headers, content, faults.shortBody());
            } else {
                receiver.answer(200, headers, content);
            }
        }
    }

    private void afterEnd() {
        judge.left(pool.inProgress());
        load.set(pool.inProgress());
        startWaiting();
        if (pool.inProgress() == 0) {
            deliver(crossing.release());
        }
        if (faults.drain() && pool.inProgress() == 0) {
            drained.complete(null);
        }
    }

    /** Ends requests whose sender has gone or whose deadline has passed. */
    private synchronized void watch() {
        if (closed) {
            return;
        }
        long now = clock.monotonicMilliseconds();
        for (Work work : pool.all()) {
            if (work.exchange().isAbandoned()) {
                judge.cancelled();
                abandon(work);
            } else if (work.isExpired(now)) {
                expire(work);
            }
        }
        scheduler.schedule(WATCH_MILLISECONDS, this::watch);
    }

    private void abandon(Work work) {
        pool.remove(work);
        work.exchange().drop();
        afterEnd();
    }

    private void expire(Work work) {
        boolean begun = work.state() == Work.State.RUNNING;
        judge.expired();
        pool.remove(work);
        if (begun) {
            work.exchange().answer(504, headers(work), new byte[0]);
        } else {
            refuse(work, "shed");
        }
        afterEnd();
    }

    private void fallOver() {
        judge.crashed();
        down = true;
        List<Work> lost = pool.all();
        lost.forEach(work -> work.enter(Work.State.ENDED));
        boot();
        load.set(0);
        scheduler.schedule(0, () -> restart(lost));
    }

    private void restart(List<Work> lost) {
        service.refuse();
        lost.forEach(work -> work.exchange().drop());
        scheduler.schedule(settings.fallOverMilliseconds(), this::comeBack);
    }

    private synchronized void comeBack() {
        if (!closed) {
            down = false;
            service.accept();
        }
    }

    private void boot() {
        pool.boot();
        renewBootIdentity();
    }

    private void renewBootIdentity() {
        boots++;
        bootIdentity = settings.name() + "-" + clock.calendarMilliseconds() + "-" + boots;
    }

    private synchronized List<Header> probeHeaders() {
        List<Header> headers = reportHeaders();
        if (faults.drain()) {
            headers.add(new Header("Leaving", "true"));
        }
        return headers;
    }

    private List<Header> headers(Work work) {
        List<Header> headers = reportHeaders();
        headers.add(new Header("Request-Id", work.key().requestId()));
        if (!work.attempt().isEmpty()) {
            headers.add(new Header("Attempt", work.attempt()));
        }
        return headers;
    }

    private List<Header> reportHeaders() {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Boot-Identity", bootIdentity));
        headers.add(new Header("Load", String.format(Locale.ROOT, "%d", load.reported())));
        return headers;
    }

    private record RunTotal(int runs) {}
}
