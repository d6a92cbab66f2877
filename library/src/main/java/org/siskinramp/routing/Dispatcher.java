package org.siskinramp.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;

/**
 * Starts attempts, and decides what follows when they end: the answer, a retry, a wait or a
 * refusal. It is guarded by the lock of the service.
 */
final class Dispatcher {

    private static final int ATTEMPTS_AT_MOST = 4;
    private static final int SERVER_ERROR_STATUS = 500;
    private static final int SAMPLES_BEFORE_HEDGING = 100;
    private static final long SHORTEST_STALL_MILLISECONDS = 300;
    private static final long STALL_FACTOR = 5;
    private static final long STALL_PART = 4;
    private static final AtomicLong NEXT_ATTEMPT_NUMBER = new AtomicLong(1);

    private final ServiceState state;
    private final ServerObserver observer;
    private final AttemptListener listener;
    private final Admission admission;
    private final RequestEnds ends;
    private final ShareBudget retryBudget;
    private final ShareBudget hedgeBudget;
    private final Map<Long, OpenAttempt> open = new HashMap<>();

    Dispatcher(ServiceState state, ServerObserver observer, AttemptListener listener) {
        this.state = state;
        this.observer = observer;
        this.listener = listener;
        this.admission = new Admission(state);
        this.ends = new RequestEnds(state, admission);
        this.retryBudget = new ShareBudget(state.options().retryShare());
        this.hedgeBudget = new ShareBudget(state.options().hedgeShare());
    }

    /** Is told, outside the lock, how an attempt ended and when a hedge is due. */
    interface AttemptListener {

        /**
         * Reports the end of an attempt.
         *
         * @param attemptNumber the attempt
         * @param answer the answer, or null
         * @param failure the failure, or null
         */
        void ended(long attemptNumber, AttemptAnswer answer, Throwable failure);

        /**
         * Reports that a request has been in progress for longer than most.
         *
         * @param run the request
         */
        void hedgeDue(RequestRun run);

        /** Reports that a waiting request may be able to start or has to be refused. */
        void queueDue();
    }

    /**
     * Starts a new request, makes it wait, or refuses it at once.
     *
     * @param run the request
     * @param effects what happens outside the lock
     */
    void submit(RequestRun run, Effects effects) {
        retryBudget.earn();
        hedgeBudget.earn();
        if (state.isQuarantined(run)) {
            ends.giveUp(run, ResultCode.QUARANTINED, effects);
            return;
        }
        prepare(run, effects);
        Optional<Slot> slot = state.chooseSlot(run, state.now());
        if (slot.isPresent()) {
            start(run, slot.get(), "first", effects);
            return;
        }
        Optional<ResultCode> refusal = admission.refusalOf(run);
        if (refusal.isPresent()) {
            ends.refuse(run, refusal.get(), effects);
            return;
        }
        enqueue(run, effects);
    }

    /** Isolates a server if a request must run alone and no server is alone. */
    private void prepare(RequestRun run, Effects effects) {
        if (state.mustRunAlone(run)) {
            state.isolation()
                    .candidate(state.now())
                    .ifPresent(server -> observer.isolate(server, effects));
        }
    }

    Admission admission() {
        return admission;
    }

    private void enqueue(RequestRun run, Effects effects) {
        long now = state.now();
        run.setWaiting(true);
        state.queue().add(run, run.request().kind().weight(), admission.latestStart(run));
        state.environment().counters().add(Counter.WAITS);
        long untilRefusal = Math.max(1, admission.latestStart(run) - now);
        long patience = state.options().loanPatienceMilliseconds();
        effects.add(
                () -> {
                    state.environment().scheduler().schedule(untilRefusal, listener::queueDue);
                    state.environment().scheduler().schedule(patience, listener::queueDue);
                });
    }

    /**
     * Starts waiting requests as far as slots allow, and refuses those that can no longer be
     * answered in time.
     *
     * @param effects what happens outside the lock
     */
    void startWaiting(Effects effects) {
        long now = state.now();
        for (RequestRun expired : state.queue().takeExpired(now)) {
            expired.setWaiting(false);
            ends.giveUp(expired, ResultCode.DEADLINE_PASSED, effects);
        }
        while (state.queue().size() > 0 && state.hasUsableSlot(now)) {
            Optional<RequestRun> next =
                    state.queue()
                            .takeFirst(
                                    run ->
                                            state.isQuarantined(run)
                                                    || state.chooseSlot(run, now).isPresent());
            if (next.isEmpty()) {
                return;
            }
            next.get().setWaiting(false);
            if (state.isQuarantined(next.get())) {
                ends.giveUp(next.get(), ResultCode.QUARANTINED, effects);
                continue;
            }
            String reason = next.get().attemptCount() == 0 ? "waited" : "retry";
            state.chooseSlot(next.get(), now)
                    .ifPresent(slot -> start(next.get(), slot, reason, effects));
        }
    }

    /**
     * Refuses all waiting requests, since the service has no server for them any more.
     *
     * @param code the reason
     * @param effects what happens outside the lock
     */
    void refuseWaiting(ResultCode code, Effects effects) {
        for (RequestRun run : state.queue().takeAll()) {
            run.setWaiting(false);
            ends.giveUp(run, code, effects);
        }
    }

    private void start(RequestRun run, Slot slot, String reason, Effects effects) {
        long now = state.now();
        ServerState server = state.servers().get(slot.key().backendServer());
        long number = NEXT_ATTEMPT_NUMBER.getAndIncrement();
        if (server.health().needsTrial(now)) {
            server.health().beginTrial();
        }
        slot.begin();
        server.beginRequest();
        run.begin(number, server.backendServer().name());
        open.put(number, new OpenAttempt(run, slot, server, now));
        long deadline = attemptDeadline(run, now);
        Attempt attempt =
                new Attempt(
                        number,
                        run.request(),
                        server.backendServer(),
                        deadline,
                        !server.warmth().isWarm(),
                        state.expectedBootIdentity(slot, server),
                        () -> isPermitted(slot, server, deadline));
        state.environment().counters().add(Counter.ATTEMPTS);
        logRoute(run, slot, server, number, reason);
        Attempt sent = run.attemptCount() > 1 ? attempt.onNewConnection() : attempt;
        effects.add(() -> send(sent));
        scheduleHedge(run, effects);
    }

    /**
     * Decides when an attempt is given up. The first attempt of an idempotent request is given up
     * well before the request, so that another server can still answer if a connection is silent.
     */
    private long attemptDeadline(RequestRun run, long now) {
        long last =
                Math.min(
                        run.request().deadlineMilliseconds(),
                        now + state.service().timeLimitMilliseconds());
        boolean first = run.isIdempotent() && run.attemptCount() == 1;
        return first ? Math.min(last, now + stallMilliseconds(last - now)) : last;
    }

    private long stallMilliseconds(long timeLeft) {
        boolean known = state.latencies().count() >= SAMPLES_BEFORE_HEDGING;
        long usual = state.latencies().quantile(state.options().hedgeQuantile(), 0);
        long stalled = known ? STALL_FACTOR * usual : timeLeft / STALL_PART;
        return Math.max(SHORTEST_STALL_MILLISECONDS, stalled);
    }

    private void send(Attempt attempt) {
        CompletableFuture<AttemptAnswer> unused =
                state.environment()
                        .backendServerLink()
                        .dispatch(attempt)
                        .whenComplete(
                                (answer, failure) ->
                                        listener.ended(attempt.number(), answer, failure));
    }

    private boolean isPermitted(Slot slot, ServerState server, long deadline) {
        long now = state.now();
        if (now >= deadline || !server.takesNewWork()) {
            return false;
        }
        if (!state.options().areSlotsOwned()) {
            return true;
        }
        return slot.isBorrowed()
                ? now < slot.usableUntil()
                : slot.isHeld() && state.environment().slotRights().isUsable(slot.key());
    }

    private void logRoute(
            RequestRun run, Slot slot, ServerState server, long number, String reason) {
        state.environment()
                .eventLog()
                .record(
                        LogEvent.named("route")
                                .with("request", run.request().key())
                                .with("service", state.service().name())
                                .with("kind", run.request().kind().name())
                                .with("backend_server", server.backendServer().name())
                                .with(
                                        "to_availability_zone",
                                        server.backendServer().availabilityZone())
                                .with("slot", slot.key().index())
                                .with("right", slot.isBorrowed() ? "loan" : "own")
                                .with("attempt", number)
                                .with("reason", reason));
    }

    private void scheduleHedge(RequestRun run, Effects effects) {
        boolean first = run.attemptCount() == 1;
        if (!first || !run.isIdempotent() || state.latencies().count() < SAMPLES_BEFORE_HEDGING) {
            return;
        }
        long delay = state.latencies().quantile(state.options().hedgeQuantile(), 0) + 1;
        if (state.now() + delay >= run.request().deadlineMilliseconds()) {
            return;
        }
        effects.add(
                () ->
                        state.environment()
                                .scheduler()
                                .schedule(delay, () -> listener.hedgeDue(run)));
    }

    /**
     * Starts a second attempt of an idempotent request elsewhere, if nothing waits and the budget
     * allows.
     *
     * @param run the request
     * @param effects what happens outside the lock
     */
    void hedge(RequestRun run, Effects effects) {
        if (run.isEnded()
                || run.isWaiting()
                || run.attemptCount() != 1
                || state.queue().size() > 0) {
            return;
        }
        Optional<Slot> slot = state.chooseSlot(run, state.now());
        if (slot.isPresent() && hedgeBudget.spend()) {
            state.environment().counters().add(Counter.HEDGES);
            start(run, slot.get(), "hedge", effects);
        }
    }

    /**
     * Takes the answer of an attempt in.
     *
     * @param attemptNumber the attempt
     * @param result the answer
     * @param effects what happens outside the lock
     */
    void answered(long attemptNumber, AttemptAnswer result, Effects effects) {
        OpenAttempt attempt = open.remove(attemptNumber);
        if (attempt == null) {
            return;
        }
        attempt.slot().end();
        attempt.server().endRequest();
        boolean failed = result.answer().status() >= SERVER_ERROR_STATUS;
        if (!failed) {
            attempt.slot().countAnswer();
        }
        observer.answered(attempt, result, failed, effects);
        RequestRun run = attempt.run();
        String contentHash = run.request().contentHash();
        effects.add(() -> state.environment().requestSuspicion().ranToEnd(contentHash));
        run.finish(
                attemptNumber,
                new AttemptRecord(attempt.server().backendServer().name(), "answered", true));
        if (run.isEnded()) {
            return;
        }
        if (failed && run.isIdempotent() && retry(run, effects)) {
            return;
        }
        ends.finish(run, result.answer(), effects);
    }

    /**
     * Takes the failure of an attempt in.
     *
     * @param attemptNumber the attempt
     * @param failure why it failed
     * @param effects what happens outside the lock
     */
    void failed(long attemptNumber, AttemptException failure, Effects effects) {
        OpenAttempt attempt = open.remove(attemptNumber);
        if (attempt == null) {
            return;
        }
        RequestRun run = attempt.run();
        attempt.server().endRequest();
        if (failure.failure().isNotRun()) {
            attempt.slot().end();
        } else {
            linger(attempt.slot(), effects);
        }
        observer.failed(attempt, failure, effects);
        run.finish(
                attemptNumber,
                new AttemptRecord(
                        attempt.server().backendServer().name(),
                        failure.failure().word(),
                        !failure.failure().isNotRun()));
        if (run.isEnded() || !run.attemptsInProgress().isEmpty()) {
            return;
        }
        boolean repeatable = run.isIdempotent() || !run.mayHaveRun();
        if (!repeatable || !retry(run, effects)) {
            ends.giveUp(run, ResultCode.SHED, effects);
        }
    }

    private void linger(Slot slot, Effects effects) {
        long lasts = state.options().lingerMilliseconds();
        slot.linger(state.now() + lasts);
        effects.add(() -> state.environment().scheduler().schedule(lasts, listener::queueDue));
    }

    private boolean retry(RequestRun run, Effects effects) {
        long now = state.now();
        boolean possible =
                run.attemptCount() < ATTEMPTS_AT_MOST
                        && now < admission.latestStart(run)
                        && state.hasUntriedServer(run)
                        && !(state.mustRunAlone(run) && run.mayHaveRun());
        if (!possible || !retryBudget.spend()) {
            return false;
        }
        state.environment().counters().add(Counter.RETRIES);
        Optional<Slot> slot = state.chooseSlot(run, now);
        if (slot.isPresent()) {
            start(run, slot.get(), "retry", effects);
        } else {
            enqueue(run, effects);
        }
        return true;
    }
}
