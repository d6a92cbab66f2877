package org.siskinramp.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.fleet.AnnouncedRateLimit.AnswerKind;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.log.RequestDuration;
import org.siskinramp.result.Futures;
import org.siskinramp.routing.DeferredActions;

/** Sends attempts to backend servers and handles their results. Guarded by the gateway's lock. */
final class AttemptDispatcher {

    private static final AtomicLong NEXT_ATTEMPT_NUMBER = new AtomicLong(1);
    private static final int FIRST_SERVER_ERROR = 500;

    private final GatewayEnvironment environment;
    private final Fleet fleet;
    private final LockedExecutor lockedExecutor;
    private final CrashDetector crashDetector;
    private final AnnouncementHandler announcements;
    private final AttemptEndListener listener;
    private final Map<Long, InFlightAttempt> inFlightAttempts = new HashMap<>();

    AttemptDispatcher(
            GatewayEnvironment environment,
            Fleet fleet,
            LockedExecutor lockedExecutor,
            CrashDetector crashDetector,
            AnnouncementHandler announcements,
            AttemptEndListener listener) {
        this.environment = environment;
        this.fleet = fleet;
        this.lockedExecutor = lockedExecutor;
        this.crashDetector = crashDetector;
        this.announcements = announcements;
        this.listener = listener;
    }

    /** Is notified when an attempt has ended. */
    interface AttemptEndListener {

        /** Handles the end of an attempt; the answer is null if the attempt failed. */
        void attemptEnded(
                InFlightAttempt attempt,
                AttemptAnswer answer,
                AttemptVerdict verdict,
                DeferredActions deferred);
    }

    /** An attempt in flight, with the load and the service time of the server when it was sent. */
    record InFlightAttempt(
            RequestContext context,
            KnownServer server,
            long number,
            long sentAt,
            int estimatedRequestsInProgress,
            int serviceTimePercent) {}

    void dispatch(
            RequestContext context, KnownServer server, String reason, DeferredActions deferred) {
        long now = environment.clock().monotonicMilliseconds();
        long number = NEXT_ATTEMPT_NUMBER.getAndIncrement();
        logPlacement(context, server, number, reason, now);
        environment
                .metricsRecorder()
                .recordDuration(
                        RequestDuration.WAITING,
                        context.route().isIdempotent(),
                        context.waitedMilliseconds(now));
        environment.counters().add(Counter.ATTEMPTS);
        server.beginRequest();
        context.beginAttempt(number, server.server().name());
        inFlightAttempts.put(
                number,
                new InFlightAttempt(
                        context,
                        server,
                        number,
                        now,
                        server.estimatedRequestsInProgress(),
                        server.serviceTimePercent()));
        Attempt attempt =
                new Attempt(
                        number,
                        context.request(),
                        server.server(),
                        context.request().deadlineMilliseconds(),
                        server.isCold(now),
                        "",
                        () -> context.callerConnection().isOpen() && isPermitted(number));
        deferred.add(
                () ->
                        Futures.whenDone(
                                environment.backendServerLink().dispatch(attempt),
                                (answer, failure) ->
                                        lockedExecutor.run(
                                                innerDeferred ->
                                                        handleAttemptEnd(
                                                                number,
                                                                answer,
                                                                failure,
                                                                innerDeferred))));
    }

    private boolean isPermitted(long number) {
        boolean[] permitted = new boolean[1];
        lockedExecutor.run(
                deferred -> {
                    InFlightAttempt attempt = inFlightAttempts.get(number);
                    long now = environment.clock().monotonicMilliseconds();
                    permitted[0] =
                            attempt != null
                                    && !attempt.context().isCompleted()
                                    && !crashDetector.isQuarantined(attempt.context())
                                    && fleet.isUsable(attempt.server(), now)
                                    && attempt.server()
                                            .rateLimit()
                                            .permitsRequestPlacedAt(attempt.sentAt());
                });
        return permitted[0];
    }

    private void handleAttemptEnd(
            long number, AttemptAnswer answer, Throwable failure, DeferredActions deferred) {
        InFlightAttempt attempt = inFlightAttempts.remove(number);
        if (attempt == null) {
            return;
        }
        attempt.server().endRequest(attempt.sentAt());
        boolean idempotent = attempt.context().route().isIdempotent();
        if (failure == null) {
            handleAnswer(attempt, answer, idempotent, deferred);
        } else {
            handleFailure(attempt, AttemptException.from(failure), idempotent, deferred);
        }
    }

    private void handleAnswer(
            InFlightAttempt attempt,
            AttemptAnswer answer,
            boolean idempotent,
            DeferredActions deferred) {
        long now = environment.clock().monotonicMilliseconds();
        int status = answer.answer().status();
        attempt.server().recordAnswerLoadReport(answer.loadReport(), now);
        announcements.handleAnswer(
                attempt.server(), answer.loadReport(), AnswerKind.REQUEST, attempt.sentAt());
        if (status >= FIRST_SERVER_ERROR) {
            attempt.server().recordFailure(now);
        } else {
            attempt.server().recordSuccess(now);
            crashDetector.requestCompleted(attempt.context(), deferred);
        }
        attempt.context().endAttempt(attempt.number(), true, true);
        environment
                .metricsRecorder()
                .recordDuration(RequestDuration.AT_SERVER, idempotent, now - attempt.sentAt());
        environment.eventLog().record(attemptEndEvent(attempt, "answered_" + status, now));
        listener.attemptEnded(
                attempt, answer, AttemptVerdict.ofAnswer(status, idempotent), deferred);
    }

    private void handleFailure(
            InFlightAttempt attempt,
            AttemptException failure,
            boolean idempotent,
            DeferredActions deferred) {
        long now = environment.clock().monotonicMilliseconds();
        AttemptFailure kind = failure.failure();
        attempt.server().recordLoadReport(failure.loadReport(), now);
        announcements.handleFailure(attempt.server(), failure.loadReport(), AnswerKind.REQUEST);
        if (!kind.reachedServer() || kind == AttemptFailure.WRONG_SERVER) {
            attempt.server().recordConnectionFailure(now);
        } else if (kind == AttemptFailure.ANSWER_ENDLESS) {
            eject(attempt, now);
        } else if (kind != AttemptFailure.CANCELLED) {
            attempt.server().recordFailure(now);
        }
        attempt.context().endAttempt(attempt.number(), kind.reachedServer(), !kind.isNotRun());
        environment
                .eventLog()
                .record(
                        attemptEndEvent(attempt, kind.logName(), now)
                                .with("content", attempt.context().request().contentHash()));
        if (kind.isConnectionBroken()) {
            crashDetector.connectionBroken(attempt, kind, deferred);
        } else if (kind == AttemptFailure.TIMED_OUT) {
            crashDetector.timedOut(attempt, deferred);
        } else {
            crashDetector.recordFailure(attempt.server(), kind, deferred);
        }
        listener.attemptEnded(attempt, null, AttemptVerdict.ofFailure(kind, idempotent), deferred);
    }

    private void eject(InFlightAttempt attempt, long now) {
        KnownServer server = attempt.server();
        if (server.eject(now)) {
            environment.counters().add(Counter.EJECTIONS);
            environment
                    .eventLog()
                    .record(
                            LogEvent.named("server_ejected")
                                    .with("request", attempt.context().request().key().requestId())
                                    .with("backend_server", server.server().name())
                                    .with("reason", AttemptFailure.ANSWER_ENDLESS.logName())
                                    .with("ejected_ms", server.ejectedUntil() - now)
                                    .with("in_flight", server.inFlight()));
        }
    }

    void cancelAttempts(RequestContext context, DeferredActions deferred) {
        for (long number : context.openAttempts()) {
            deferred.add(() -> environment.backendServerLink().cancel(number));
        }
    }

    private void logPlacement(
            RequestContext context, KnownServer server, long number, String reason, long now) {
        environment
                .eventLog()
                .record(
                        LogEvent.named("place")
                                .with("request", context.request().key().requestId())
                                .with("service", context.request().service())
                                .with("backend_server", server.server().name())
                                .with("to_availability_zone", server.server().availabilityZone())
                                .with("attempt", number)
                                .with("reason", reason)
                                .with("occupied", server.estimatedRequestsInProgress())
                                .with("pace_percent", server.serviceTimePercent())
                                .with("sight_age_ms", server.loadReportAgeMilliseconds(now))
                                .with("waited_ms", context.waitedMilliseconds(now))
                                .with("rounds", context.searchRounds()));
    }

    private static LogEvent attemptEndEvent(InFlightAttempt attempt, String outcome, long now) {
        return LogEvent.named("attempt_end")
                .with("request", attempt.context().request().key().requestId())
                .with("backend_server", attempt.server().server().name())
                .with("attempt", attempt.number())
                .with("outcome", outcome)
                .with("took_ms", now - attempt.sentAt());
    }
}
