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
 * Starts attempts, and decides what happens when they end: the request is answered, retried, queued
 * for a retry, or fails. It is guarded by the lock of the service.
 */
final class Dispatcher {

    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final int SERVER_ERROR_STATUS = 500;
    private static final int MINIMUM_LATENCY_SAMPLES = 100;
    private static final long MINIMUM_FIRST_ATTEMPT_TIMEOUT_MILLISECONDS = 300;
    private static final long FIRST_ATTEMPT_TIMEOUT_LATENCY_FACTOR = 5;
    private static final long FIRST_ATTEMPT_TIMEOUT_DIVISOR = 4;
    private static final AtomicLong NEXT_ATTEMPT_NUMBER = new AtomicLong(1);

    private final ServiceRoutingState state;
    private final ServerMonitor monitor;
    private final AttemptListener listener;
    private final Admission admission;
    private final RequestCompleter completer;
    private final RatioBudget retryBudget;
    private final RatioBudget hedgeBudget;
    private final Map<Long, OpenAttempt> openAttempts = new HashMap<>();

    Dispatcher(ServiceRoutingState state, ServerMonitor monitor, AttemptListener listener) {
        this.state = state;
        this.monitor = monitor;
        this.listener = listener;
        this.admission = new Admission(state);
        this.completer = new RequestCompleter(state, admission);
        this.retryBudget = new RatioBudget(state.options().retryRatio());
        this.hedgeBudget = new RatioBudget(state.options().hedgeRatio());
    }

    /** Receives the ends of attempts and the expiry of timers, outside the lock. */
    interface AttemptListener {

        /**
         * Is called when an attempt has ended.
         *
         * @param attemptNumber the number of the attempt
         * @param answer the answer, or null if the attempt failed
         * @param failure the failure, or null if the attempt was answered
         */
        void ended(long attemptNumber, AttemptAnswer answer, Throwable failure);

        /**
         * Is called when the hedging delay of a request has passed.
         *
         * @param routed the request
         */
        void hedgeDue(RoutedRequest routed);

        /** Is called when waiting requests may be able to start or may have to be refused. */
        void queueCheckDue();
    }

    /**
     * Starts a new request, queues it, or refuses it at once.
     *
     * @param routed the request
     * @param deferred collects the actions to run after the lock is released
     */
    void submit(RoutedRequest routed, DeferredActions deferred) {
        retryBudget.deposit();
        hedgeBudget.deposit();
        if (state.isQuarantined(routed)) {
            completer.giveUp(routed, ResultCode.QUARANTINED, deferred);
            return;
        }
        isolateServerIfNeeded(routed, deferred);
        Optional<Slot> slot = state.chooseSlot(routed, state.now());
        if (slot.isPresent()) {
            start(routed, slot.get(), "first", deferred);
            return;
        }
        Optional<ResultCode> refusal = admission.refusalOf(routed);
        if (refusal.isPresent()) {
            completer.refuse(routed, refusal.get(), deferred);
            return;
        }
        enqueue(routed, deferred);
    }

    /** Isolates a server if a request must run alone and none is isolated yet. */
    private void isolateServerIfNeeded(RoutedRequest routed, DeferredActions deferred) {
        if (state.mustRunAlone(routed)) {
            state.isolation()
                    .candidate(state.now())
                    .ifPresent(server -> monitor.isolate(server, deferred));
        }
    }

    Admission admission() {
        return admission;
    }

    private void enqueue(RoutedRequest routed, DeferredActions deferred) {
        long now = state.now();
        routed.setWaiting(true);
        state.queue().add(routed, routed.request().kind().weight(), admission.latestStart(routed));
        state.environment().counters().add(Counter.WAITS);
        long untilRefusal = Math.max(1, admission.latestStart(routed) - now);
        long askDelay = state.options().loanAskDelayMilliseconds();
        deferred.add(
                () -> {
                    state.environment().scheduler().schedule(untilRefusal, listener::queueCheckDue);
                    state.environment().scheduler().schedule(askDelay, listener::queueCheckDue);
                });
    }

    /**
     * Starts waiting requests while slots are usable, and refuses those that can no longer be
     * answered before their deadline.
     *
     * @param deferred collects the actions to run after the lock is released
     */
    void startWaiting(DeferredActions deferred) {
        long now = state.now();
        for (RoutedRequest expired : state.queue().removeExpired(now)) {
            expired.setWaiting(false);
            completer.giveUp(expired, ResultCode.DEADLINE_PASSED, deferred);
        }
        while (state.queue().size() > 0 && state.hasUsableSlot(now)) {
            Optional<RoutedRequest> next =
                    state.queue()
                            .removeFirst(
                                    routed ->
                                            state.isQuarantined(routed)
                                                    || state.chooseSlot(routed, now).isPresent());
            if (next.isEmpty()) {
                return;
            }
            next.get().setWaiting(false);
            if (state.isQuarantined(next.get())) {
                completer.giveUp(next.get(), ResultCode.QUARANTINED, deferred);
                continue;
            }
            String reason = next.get().attemptCount() == 0 ? "waited" : "retry";
            state.chooseSlot(next.get(), now)
                    .ifPresent(slot -> start(next.get(), slot, reason, deferred));
        }
    }

    /**
     * Refuses all waiting requests, since the service has no server that takes new work.
     *
     * @param code the reason
     * @param deferred collects the actions to run after the lock is released
     */
    void refuseWaiting(ResultCode code, DeferredActions deferred) {
        for (RoutedRequest routed : state.queue().removeAll()) {
            routed.setWaiting(false);
            completer.giveUp(routed, code, deferred);
        }
    }

    private void start(RoutedRequest routed, Slot slot, String reason, DeferredActions deferred) {
        long now = state.now();
        ServerState server = state.servers().get(slot.key().backendServer());
        long number = NEXT_ATTEMPT_NUMBER.getAndIncrement();
        if (server.health().needsTrial(now)) {
            server.health().beginTrial();
        }
        slot.begin();
        server.beginRequest();
        routed.beginAttempt(number, server.backendServer().name());
        openAttempts.put(number, new OpenAttempt(routed, slot, server, now));
        long deadline = attemptDeadline(routed, now);
        Attempt attempt =
                new Attempt(
                        number,
                        routed.request(),
                        server.backendServer(),
                        deadline,
                        !server.warmUp().isWarm(),
                        state.expectedBootIdentity(slot, server),
                        () -> isPermitted(slot, server, deadline));
        state.environment().counters().add(Counter.ATTEMPTS);
        logRoute(routed, slot, server, number, reason);
        Attempt sent = routed.attemptCount() > 1 ? attempt.onNewConnection() : attempt;
        deferred.add(() -> send(sent));
        scheduleHedge(routed, deferred);
    }

    /**
     * Returns the deadline of an attempt. The first attempt of an idempotent request gets a shorter
     * time-out than the request, so that a retry on another server can still be answered in time if
     * nothing arrives on the first connection.
     */
    private long attemptDeadline(RoutedRequest routed, long now) {
        long latest =
                Math.min(
                        routed.request().deadlineMilliseconds(),
                        now + state.service().timeLimitMilliseconds());
        boolean first = routed.isIdempotent() && routed.attemptCount() == 1;
        return first
                ? Math.min(latest, now + firstAttemptTimeoutMilliseconds(latest - now))
                : latest;
    }

    private long firstAttemptTimeoutMilliseconds(long timeLeft) {
        boolean enoughSamples = state.latencies().count() >= MINIMUM_LATENCY_SAMPLES;
        long highLatency = state.latencies().quantile(state.options().hedgeQuantile(), 0);
        long timeout =
                enoughSamples
                        ? FIRST_ATTEMPT_TIMEOUT_LATENCY_FACTOR * highLatency
                        : timeLeft / FIRST_ATTEMPT_TIMEOUT_DIVISOR;
        return Math.max(MINIMUM_FIRST_ATTEMPT_TIMEOUT_MILLISECONDS, timeout);
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
                : slot.isHeld() && state.environment().slotAuthority().isUsable(slot.key());
    }

    private void logRoute(
            RoutedRequest routed, Slot slot, ServerState server, long number, String reason) {
        state.environment()
                .eventLog()
                .record(
                        LogEvent.named("route")
                                .with("request", routed.request().key())
                                .with("service", state.service().name())
                                .with("kind", routed.request().kind().name())
                                .with("backend_server", server.backendServer().name())
                                .with(
                                        "to_availability_zone",
                                        server.backendServer().availabilityZone())
                                .with("slot", slot.key().index())
                                .with("right", slot.isBorrowed() ? "loan" : "own")
                                .with("attempt", number)
                                .with("reason", reason));
    }

    private void scheduleHedge(RoutedRequest routed, DeferredActions deferred) {
        boolean first = routed.attemptCount() == 1;
        if (!first
                || !routed.isIdempotent()
                || state.latencies().count() < MINIMUM_LATENCY_SAMPLES) {
            return;
        }
        long delay = state.latencies().quantile(state.options().hedgeQuantile(), 0) + 1;
        if (state.now() + delay >= routed.request().deadlineMilliseconds()) {
            return;
        }
        deferred.add(
                () ->
                        state.environment()
                                .scheduler()
                                .schedule(delay, () -> listener.hedgeDue(routed)));
    }

    /**
     * Starts a hedged attempt of an idempotent request on another server, if no request waits and
     * the hedging budget allows it.
     *
     * @param routed the request
     * @param deferred collects the actions to run after the lock is released
     */
    void hedge(RoutedRequest routed, DeferredActions deferred) {
        if (routed.isEnded()
                || routed.isWaiting()
                || routed.attemptCount() != 1
                || state.queue().size() > 0) {
            return;
        }
        Optional<Slot> slot = state.chooseSlot(routed, state.now());
        if (slot.isPresent() && hedgeBudget.spend()) {
            state.environment().counters().add(Counter.HEDGES);
            start(routed, slot.get(), "hedge", deferred);
        }
    }

    /**
     * Handles the answer to an attempt.
     *
     * @param attemptNumber the number of the attempt
     * @param result the answer
     * @param deferred collects the actions to run after the lock is released
     */
    void answered(long attemptNumber, AttemptAnswer result, DeferredActions deferred) {
        OpenAttempt attempt = openAttempts.remove(attemptNumber);
        if (attempt == null) {
            return;
        }
        attempt.slot().end();
        attempt.server().endRequest();
        boolean failed = result.answer().status() >= SERVER_ERROR_STATUS;
        if (!failed) {
            attempt.slot().countAnswer();
        }
        monitor.answered(attempt, result, failed, deferred);
        RoutedRequest routed = attempt.routed();
        String contentHash = routed.request().contentHash();
        deferred.add(() -> state.environment().crashSuspectTracker().recordCompletion(contentHash));
        routed.finishAttempt(
                attemptNumber,
                new AttemptRecord(attempt.server().backendServer().name(), "answered", true));
        if (routed.isEnded()) {
            return;
        }
        if (failed && routed.isIdempotent() && retry(routed, deferred)) {
            return;
        }
        completer.complete(routed, result.answer(), deferred);
    }

    /**
     * Handles the failure of an attempt.
     *
     * @param attemptNumber the number of the attempt
     * @param failure why it failed
     * @param deferred collects the actions to run after the lock is released
     */
    void failed(long attemptNumber, AttemptException failure, DeferredActions deferred) {
        OpenAttempt attempt = openAttempts.remove(attemptNumber);
        if (attempt == null) {
            return;
        }
        RoutedRequest routed = attempt.routed();
        attempt.server().endRequest();
        if (failure.failure().isNotRun()) {
            attempt.slot().end();
        } else {
            linger(attempt.slot(), deferred);
        }
        monitor.failed(attempt, failure, deferred);
        routed.finishAttempt(
                attemptNumber,
                new AttemptRecord(
                        attempt.server().backendServer().name(),
                        failure.failure().logName(),
                        !failure.failure().isNotRun()));
        if (routed.isEnded() || !routed.attemptsInProgress().isEmpty()) {
            return;
        }
        boolean retryable = routed.isIdempotent() || !routed.mayHaveRun();
        if (!retryable || !retry(routed, deferred)) {
            completer.giveUp(routed, ResultCode.SHED, deferred);
        }
    }

    private void linger(Slot slot, DeferredActions deferred) {
        long duration = state.options().lingerMilliseconds();
        slot.linger(state.now() + duration);
        deferred.add(
                () -> state.environment().scheduler().schedule(duration, listener::queueCheckDue));
    }

    private boolean retry(RoutedRequest routed, DeferredActions deferred) {
        long now = state.now();
        boolean possible =
                routed.attemptCount() < MAXIMUM_ATTEMPTS
                        && now < admission.latestStart(routed)
                        && state.hasUntriedServer(routed)
                        && !(state.mustRunAlone(routed) && routed.mayHaveRun());
        if (!possible || !retryBudget.spend()) {
            return false;
        }
        state.environment().counters().add(Counter.RETRIES);
        Optional<Slot> slot = state.chooseSlot(routed, now);
        if (slot.isPresent()) {
            start(routed, slot.get(), "retry", deferred);
        } else {
            enqueue(routed, deferred);
        }
        return true;
    }
}
