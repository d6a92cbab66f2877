package org.siskinramp.routing;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Starts attempts, and decides what follows when they end: the answer, a retry, a wait or a
 * refusal. It is guarded by the lock of the service.
 */
final class Dispatcher {

    private static final int ATTEMPTS_AT_MOST = 4;
    private static final int SERVER_ERROR_STATUS = 500;
    private static final int SAMPLES_BEFORE_HEDGING = 100;
    private static final AtomicLong NEXT_ATTEMPT_NUMBER = new AtomicLong(1);

    private final ServiceState state;
    private final ServerObserver observer;
    private final AttemptListener listener;
    private final ShareBudget retryBudget;
    private final ShareBudget hedgeBudget;
    private final Map<Long, OpenAttempt> open = new HashMap<>();

    Dispatcher(ServiceState state, ServerObserver observer, AttemptListener listener) {
        this.state = state;
        this.observer = observer;
        this.listener = listener;
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
        Optional<Slot> slot = state.chooseSlot(run, state.now());
        if (slot.isPresent()) {
            start(run, slot.get(), "first", effects);
            return;
        }
        Optional<ResultCode> refusal = refusalOf(run);
        if (refusal.isPresent()) {
            refuse(run, refusal.get(), effects);
            return;
        }
        enqueue(run, effects);
    }

    /**
     * Tells whether a request that has to wait would be refused at once.
     *
     * @param run the request
     * @return the reason to refuse it, or empty if it may wait
     */
    Optional<ResultCode> refusalOf(RequestRun run) {
        if (!state.hasServerForNewWork()) {
            return Optional.of(ResultCode.NO_BACKEND_SERVER);
        }
        if (state.queue().size() >= state.service().queueLimit()) {
            return Optional.of(ResultCode.QUEUE_FULL);
        }
        if (state.now() + expectedWaitMilliseconds(run) > latestStart(run)) {
            return Optional.of(ResultCode.DEADLINE_UNREACHABLE);
        }
        return Optional.empty();
    }

    private void enqueue(RequestRun run, Effects effects) {
        long now = state.now();
        run.setWaiting(true);
        state.queue().add(run, run.request().kind().weight(), latestStart(run));
        state.environment().counters().add(Counter.WAITS);
        long untilRefusal = Math.max(1, latestStart(run) - now);
        long patience = state.options().loanPatienceMilliseconds();
        effects.add(
                () -> {
                    state.environment().scheduler().schedule(untilRefusal, listener::queueDue);
                    state.environment().scheduler().schedule(patience, listener::queueDue);
                });
    }

    private long latestStart(RequestRun run) {
        long deadline = run.request().deadlineMilliseconds();
        long timeLeft = deadline - run.request().arrivedMilliseconds();
        return deadline - Math.min(state.typicalLatencyMilliseconds(), timeLeft / 2);
    }

    /**
     * Estimates how long a request would wait.
     *
     * @param run the request
     * @return milliseconds
     */
    private long expectedWaitMilliseconds(RequestRun run) {
        int ahead = state.queue().countAhead(run.request().kind().weight(), latestStart(run));
        int slots = Math.max(1, state.slots().own().size() + state.slots().borrowed().size());
        return ahead * state.typicalLatencyMilliseconds() / slots;
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
            giveUp(expired, ResultCode.DEADLINE_PASSED, effects);
        }
        while (state.queue().size() > 0 && hasUsableSlot(now)) {
            Optional<RequestRun> next =
                    state.queue().takeFirst(run -> state.chooseSlot(run, now).isPresent());
            if (next.isEmpty()) {
                return;
            }
            next.get().setWaiting(false);
            String reason = next.get().attemptCount() == 0 ? "waited" : "retry";
            state.chooseSlot(next.get(), now)
                    .ifPresent(slot -> start(next.get(), slot, reason, effects));
        }
    }

    private boolean hasUsableSlot(long now) {
        return !state.options().areSlotsOwned() || !state.usableSlots(now).isEmpty();
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
            giveUp(run, code, effects);
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
        long deadline =
                Math.min(
                        run.request().deadlineMilliseconds(),
                        now + state.service().timeLimitMilliseconds());
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
        effects.add(() -> send(attempt));
        scheduleHedge(run, effects);
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
        attempt.slot.end();
        attempt.server.endRequest();
        boolean failed = result.answer().status() >= SERVER_ERROR_STATUS;
        if (!failed) {
            attempt.slot.countAnswer();
        }
        observer.answered(attempt.server, result, failed, state.now() - attempt.startedAt, effects);
        RequestRun run = attempt.run;
        run.finish(
                attemptNumber,
                new AttemptRecord(attempt.server.backendServer().name(), "answered", true));
        if (run.isEnded()) {
            return;
        }
        if (failed && run.isIdempotent() && retry(run, effects)) {
            return;
        }
        finish(run, result.answer(), effects);
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
        long now = state.now();
        RequestRun run = attempt.run;
        attempt.server.endRequest();
        if (failure.failure().isNotRun()) {
            attempt.slot.end();
        } else {
            attempt.slot.linger(now + state.options().lingerMilliseconds());
        }
        observer.failed(attempt.server, run.request(), failure, now - attempt.startedAt, effects);
        run.finish(
                attemptNumber,
                new AttemptRecord(
                        attempt.server.backendServer().name(),
                        failure.failure().name().toLowerCase(Locale.ROOT),
                        !failure.failure().isNotRun()));
        if (run.isEnded() || !run.attemptsInProgress().isEmpty()) {
            return;
        }
        boolean repeatable = run.isIdempotent() || !run.mayHaveRun();
        if (!repeatable || !retry(run, effects)) {
            giveUp(run, ResultCode.SHED, effects);
        }
    }

    private boolean retry(RequestRun run, Effects effects) {
        long now = state.now();
        boolean possible =
                run.attemptCount() < ATTEMPTS_AT_MOST
                        && now < latestStart(run)
                        && state.hasUntriedServer(run);
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

    private void finish(RequestRun run, Answer answer, Effects effects) {
        run.end();
        for (long number : run.attemptsInProgress()) {
            effects.add(() -> state.environment().backendServerLink().cancel(number));
        }
        effects.add(() -> run.answer().complete(answer));
    }

    private void giveUp(RequestRun run, ResultCode notRunCode, Effects effects) {
        if (!run.mayHaveRun()) {
            refuse(run, notRunCode, effects);
            return;
        }
        if (!run.isIdempotent()) {
            fail(run, ResultCode.OUTCOME_UNKNOWN, OptionalLong.empty(), effects);
            return;
        }
        boolean late = state.now() >= latestStart(run);
        fail(
                run,
                late ? ResultCode.TIMED_OUT : ResultCode.BACKEND_SERVER_FAILED,
                OptionalLong.of(retryAfterMilliseconds()),
                effects);
    }

    private void refuse(RequestRun run, ResultCode code, Effects effects) {
        fail(run, code, OptionalLong.of(retryAfterMilliseconds()), effects);
    }

    long retryAfterMilliseconds() {
        int slots = Math.max(1, state.slots().own().size());
        return (state.queue().size() + 1) * state.typicalLatencyMilliseconds() / slots + 1;
    }

    private void fail(RequestRun run, ResultCode code, OptionalLong retryAfter, Effects effects) {
        run.end();
        state.environment()
                .eventLog()
                .record(
                        LogEvent.named(code.isNotRun() ? "refuse" : "fail")
                                .with("request", run.request().key())
                                .with("service", state.service().name())
                                .with("kind", run.request().kind().name())
                                .with("code", code.number())
                                .with("retry_after_ms", retryAfter.orElse(0))
                                .with("attempts", run.attemptCount()));
        String detail = "request=" + run.request().key();
        ResultException failure =
                retryAfter.isPresent()
                        ? new ResultException(code, detail, retryAfter.getAsLong())
                        : new ResultException(code, detail);
        effects.add(() -> run.answer().completeExceptionally(failure));
    }

    private static final class OpenAttempt {
        private final RequestRun run;
        private final Slot slot;
        private final ServerState server;
        private final long startedAt;

        private OpenAttempt(RequestRun run, Slot slot, ServerState server, long startedAt) {
            this.run = run;
            this.slot = slot;
            this.server = server;
            this.startedAt = startedAt;
        }
    }
}
