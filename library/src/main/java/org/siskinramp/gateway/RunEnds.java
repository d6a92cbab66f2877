package org.siskinramp.gateway;

import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.log.RequestTime;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.Effects;

/** Ends requests: gives the answer, refuses as not run, or fails without a promise. */
final class RunEnds {

    /** Each refusal promises that the request has not run, whatever its code. */
    private static final int REFUSED = 503;

    private final GatewayEnvironment environment;

    RunEnds(GatewayEnvironment environment) {
        this.environment = environment;
    }

    void answer(GatewayRun run, Answer answer, Effects effects) {
        if (run.end()) {
            environment.counters().add(Counter.REQUESTS_ANSWERED);
            note("request_answered", run, answer.code(), answer.status(), "server");
            effects.add(() -> run.answer().complete(answer));
        }
    }

    /** Refuses a request that certainly did not run; tells when to come again. */
    void refuse(
            GatewayRun run,
            ResultCode code,
            String reason,
            long expectedWaitMilliseconds,
            Effects effects) {
        long wait = ReturnTime.milliseconds(expectedWaitMilliseconds, environment.random());
        refuseFor(run, code, reason, wait, effects);
    }

    /** Refuses a request until a known time, after which the callers come back one by one. */
    void refuseUntilReturn(
            GatewayRun run, ResultCode code, String reason, long milliseconds, Effects effects) {
        long spread = ReturnTime.milliseconds(0, environment.random());
        refuseFor(run, code, reason, Math.max(0, milliseconds) + spread, effects);
    }

    /** Refuses a request that would end the server that runs it, for as long as that is so. */
    void holdBack(GatewayRun run, long milliseconds, Effects effects) {
        refuseFor(run, ResultCode.QUARANTINED, "quarantined", milliseconds, effects);
    }

    private void refuseFor(
            GatewayRun run, ResultCode code, String reason, long milliseconds, Effects effects) {
        if (run.end()) {
            environment.counters().add(Counter.REQUESTS_REFUSED);
            note("request_refused", run, code, REFUSED, reason);
            fail(run, new ResultException(code, reason, milliseconds), effects);
        }
    }

    /** Fails a request that may have run. */
    void fail(GatewayRun run, ResultCode code, String reason, Effects effects) {
        if (run.end()) {
            environment.counters().add(Counter.REQUESTS_FAILED);
            note("request_failed", run, code, code.httpStatus(), reason);
            fail(run, new ResultException(code, reason), effects);
        }
    }

    private static void fail(GatewayRun run, ResultException failure, Effects effects) {
        effects.add(() -> run.answer().completeExceptionally(failure));
    }

    private void note(String event, GatewayRun run, ResultCode code, int status, String reason) {
        long now = environment.clock().monotonicMilliseconds();
        long took = now - run.request().arrivedMilliseconds();
        environment.measures().ended(event, code.number(), reason);
        environment.measures().took(RequestTime.WHOLE, run.route().isIdempotent(), took);
        environment
                .eventLog()
                .record(
                        LogEvent.named(event)
                                .with("request", run.request().key().requestId())
                                .with("content", run.request().contentHash())
                                .with("route", run.route().name())
                                .with("service", run.request().service())
                                .with("result_code", code.number())
                                .with("status", status)
                                .with("reason", reason)
                                .with("attempts", run.sendCount())
                                .with("took_ms", took));
    }
}
