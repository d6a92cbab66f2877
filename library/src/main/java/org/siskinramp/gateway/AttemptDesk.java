package org.siskinramp.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.log.RequestTime;
import org.siskinramp.result.Futures;
import org.siskinramp.routing.Effects;

/** Sends attempts and takes their ends in. It is guarded by the lock of the gateway. */
final class AttemptDesk {

    private static final AtomicLong NEXT_NUMBER = new AtomicLong(1);
    private static final int FIRST_SERVER_ERROR = 500;

    private final GatewayEnvironment environment;
    private final Fleet fleet;
    private final Locked locked;
    private final CrashWatch crashes;
    private final Announcements announcements;
    private final EndListener listener;
    private final Map<Long, Open> open = new HashMap<>();

    AttemptDesk(
            GatewayEnvironment environment,
            Fleet fleet,
            Locked locked,
            CrashWatch crashes,
            Announcements announcements,
            EndListener listener) {
        this.environment = environment;
        this.fleet = fleet;
        this.locked = locked;
        this.crashes = crashes;
        this.announcements = announcements;
        this.listener = listener;
    }

    /** Decides what follows the end of an attempt. */
    interface EndListener {

        /** Takes the end of an attempt in; the answer is null if the attempt failed. */
        void ended(Open attempt, AttemptAnswer answer, AttemptVerdict verdict, Effects effects);
    }

    /** Describes an attempt on its way; the pace is that of the server when it was sent. */
    record Open(
            GatewayRun run,
            KnownServer server,
            long number,
            long sentAt,
            int occupied,
            int pacePercent) {}

    void start(GatewayRun run, KnownServer server, String reason, Effects effects) {
        long now = environment.clock().monotonicMilliseconds();
        long number = NEXT_NUMBER.getAndIncrement();
        log(run, server, number, reason, now);
        environment
                .measures()
                .took(RequestTime.WAITING, run.route().isIdempotent(), run.waitedMilliseconds(now));
        server.beginRequest();
        run.beginAttempt(number, server.server().name());
        open.put(
                number,
                new Open(run, server, number, now, server.occupied(), server.pacePercent()));
        environment.counters().add(Counter.ATTEMPTS);
        Attempt attempt =
                new Attempt(
                        number,
                        run.request(),
                        server.server(),
                        run.request().deadlineMilliseconds(),
                        server.isCold(now),
                        "",
                        () -> isPermitted(number));
        effects.add(
                () ->
                        Futures.whenDone(
                                environment.backendServerLink().dispatch(attempt),
                                (answer, failure) ->
                                        locked.run(held -> ended(number, answer, failure, held))));
    }

    private boolean isPermitted(long number) {
        boolean[] permitted = new boolean[1];
        locked.run(
                effects -> {
                    Open attempt = open.get(number);
                    long now = environment.clock().monotonicMilliseconds();
                    permitted[0] =
                            attempt != null
                                    && !attempt.run().isEnded()
                                    && !crashes.holdsBack(attempt.run())
                                    && fleet.isUsable(attempt.server(), now);
                });
        return permitted[0];
    }

    private void ended(long number, AttemptAnswer answer, Throwable failure, Effects effects) {
        Open attempt = open.remove(number);
        if (attempt == null) {
            return;
        }
        attempt.server().endRequest(attempt.sentAt());
        boolean idempotent = attempt.run().route().isIdempotent();
        if (failure == null) {
            answered(attempt, answer, idempotent, effects);
        } else {
            failed(attempt, AttemptException.from(failure), idempotent, effects);
        }
    }

    private void answered(Open attempt, AttemptAnswer answer, boolean idempotent, Effects effects) {
        long now = environment.clock().monotonicMilliseconds();
        int status = answer.answer().status();
        attempt.server().seeAnswer(answer.loadReport(), now);
        announcements.take(attempt.server(), answer.loadReport());
        if (status >= FIRST_SERVER_ERROR) {
            attempt.server().fail(now);
        } else {
            attempt.server().succeed(now);
            crashes.completed(attempt.run(), effects);
        }
        attempt.run().endAttempt(attempt.number(), true, true);
        environment.measures().took(RequestTime.AT_SERVER, idempotent, now - attempt.sentAt());
        environment.eventLog().record(end(attempt, "answered_" + status, now));
        listener.ended(attempt, answer, AttemptVerdict.ofAnswer(status, idempotent), effects);
    }

    private void failed(
            Open attempt, AttemptException failure, boolean idempotent, Effects effects) {
        long now = environment.clock().monotonicMilliseconds();
        AttemptFailure kind = failure.failure();
        attempt.server().see(failure.loadReport(), now);
        announcements.take(attempt.server(), failure.loadReport());
        if (!kind.isArrival() || kind == AttemptFailure.WRONG_SERVER) {
            attempt.server().suspect(now);
        } else if (kind == AttemptFailure.ANSWER_ENDLESS) {
            eject(attempt, now);
        } else if (kind != AttemptFailure.CANCELLED) {
            attempt.server().fail(now);
        }
        attempt.run().endAttempt(attempt.number(), kind.isArrival(), !kind.isNotRun());
        environment
                .eventLog()
                .record(
                        end(attempt, kind.word(), now)
                                .with("content", attempt.run().request().contentHash()));
        if (kind.isBreak()) {
            crashes.broke(attempt, effects);
        } else if (kind == AttemptFailure.TIMED_OUT) {
            crashes.wentSilent(attempt, effects);
        } else {
            crashes.failed(attempt.server(), kind, effects);
        }
        listener.ended(attempt, null, AttemptVerdict.ofFailure(kind, idempotent), effects);
    }

    private void eject(Open attempt, long now) {
        KnownServer server = attempt.server();
        if (server.eject(now)) {
            environment.counters().add(Counter.EJECTIONS);
            environment
                    .eventLog()
                    .record(
                            LogEvent.named("server_ejected")
                                    .with("request", attempt.run().request().key().requestId())
                                    .with("backend_server", server.server().name())
                                    .with("reason", AttemptFailure.ANSWER_ENDLESS.word())
                                    .with("ejected_ms", server.ejectedUntil() - now)
                                    .with("in_flight", server.inFlight()));
        }
    }

    void cancel(GatewayRun run, Effects effects) {
        for (long number : run.openAttempts()) {
            effects.add(() -> environment.backendServerLink().cancel(number));
        }
    }

    private void log(GatewayRun run, KnownServer server, long number, String reason, long now) {
        environment
                .eventLog()
                .record(
                        LogEvent.named("place")
                                .with("request", run.request().key().requestId())
                                .with("service", run.request().service())
                                .with("backend_server", server.server().name())
                                .with("to_availability_zone", server.server().availabilityZone())
                                .with("attempt", number)
                                .with("reason", reason)
                                .with("occupied", server.occupied())
                                .with("pace_percent", server.pacePercent())
                                .with("sight_age_ms", server.sightAge(now))
                                .with("waited_ms", run.waitedMilliseconds(now))
                                .with("rounds", run.rounds()));
    }

    private static LogEvent end(Open attempt, String outcome, long now) {
        return LogEvent.named("attempt_end")
                .with("request", attempt.run().request().key().requestId())
                .with("backend_server", attempt.server().server().name())
                .with("attempt", attempt.number())
                .with("outcome", outcome)
                .with("took_ms", now - attempt.sentAt());
    }
}
