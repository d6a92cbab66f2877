package org.siskinramp.routing;

import java.util.OptionalLong;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Ends requests with an answer, a refusal or a failure. It is guarded by the lock of the service.
 */
final class RequestEnds {

    private final ServiceState state;
    private final Admission admission;

    RequestEnds(ServiceState state, Admission admission) {
        this.state = state;
        this.admission = admission;
    }

    /** Gives a request its answer and cancels its other attempts. */
    void finish(RequestRun run, Answer answer, Effects effects) {
        run.end();
        for (long number : run.attemptsInProgress()) {
            effects.add(() -> state.environment().backendServerLink().cancel(number));
        }
        effects.add(() -> run.answer().complete(answer));
    }

    /**
     * Ends a request without an answer, as not run if no attempt may have run.
     *
     * @param run the request
     * @param notRunCode the code if it did not run
     * @param effects what happens outside the lock
     */
    void giveUp(RequestRun run, ResultCode notRunCode, Effects effects) {
        if (!run.mayHaveRun()) {
            refuse(run, notRunCode, effects);
            return;
        }
        if (!run.isIdempotent()) {
            fail(run, ResultCode.OUTCOME_UNKNOWN, OptionalLong.empty(), effects);
            return;
        }
        boolean late = state.now() >= admission.latestStart(run);
        fail(
                run,
                late ? ResultCode.TIMED_OUT : ResultCode.BACKEND_SERVER_FAILED,
                OptionalLong.of(admission.retryAfterMilliseconds(run)),
                effects);
    }

    /** Ends a request that did not run. */
    void refuse(RequestRun run, ResultCode code, Effects effects) {
        OptionalLong retryAfter =
                code == ResultCode.QUARANTINED
                        ? OptionalLong.empty()
                        : OptionalLong.of(admission.retryAfterMilliseconds(run));
        fail(run, code, retryAfter, effects);
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
}
