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
        if (run.end()) {
            environment.counters().add(Counter.REQUESTS_REFUSED);
            note("request_refused", run, code, code.httpStatus(), reason);
            long wait = ReturnTime.milliseconds(expectedWaitMilliseconds, environment.random());
            fail(run, new ResultException(code, reason, wait), effects);
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
                                .with("route", run.route().name())
                                .with("service", run.request().service())
                                .with("result_code", code.number())
                                .with("status", status)
                                .with("reason", reason)
                                .with("attempts", run.sendCount())
                                .with("took_ms", took));
    }
}
