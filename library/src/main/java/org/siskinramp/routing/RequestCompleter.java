package org.siskinramp.routing;

import java.util.OptionalLong;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Completes requests with an answer, a refusal or a failure. It is guarded by the lock of the
 * service.
 */
final class RequestCompleter {

    private final ServiceRoutingState state;
    private final Admission admission;

    RequestCompleter(ServiceRoutingState state, Admission admission) {
        this.state = state;
        this.admission = admission;
    }

    /** Completes a request with an answer and cancels its other attempts. */
    void complete(RoutedRequest routed, Answer answer, DeferredActions deferred) {
        routed.end();
        for (long number : routed.attemptsInProgress()) {
            deferred.add(() -> state.environment().backendServerLink().cancel(number));
        }
        deferred.add(() -> routed.answer().complete(answer));
    }

    /**
     * Completes a request without an answer. It is refused with the given code if no attempt can
     * have run, and otherwise fails with a code that says what is known of its outcome.
     *
     * @param routed the request
     * @param notRunCode the code if it did not run
     * @param deferred collects the actions to run after the lock is released
     */
    void giveUp(RoutedRequest routed, ResultCode notRunCode, DeferredActions deferred) {
        if (!routed.mayHaveRun()) {
            refuse(routed, notRunCode, deferred);
            return;
        }
        if (!routed.isIdempotent()) {
            fail(routed, ResultCode.OUTCOME_UNKNOWN, OptionalLong.empty(), deferred);
            return;
        }
        boolean late = state.now() >= admission.latestStart(routed);
        fail(
                routed,
                late ? ResultCode.TIMED_OUT : ResultCode.BACKEND_SERVER_FAILED,
                OptionalLong.of(admission.retryAfterMilliseconds(routed)),
                deferred);
    }

    /** Refuses a request that did not run. */
    void refuse(RoutedRequest routed, ResultCode code, DeferredActions deferred) {
        OptionalLong retryAfter =
                code == ResultCode.QUARANTINED
                        ? OptionalLong.empty()
                        : OptionalLong.of(admission.retryAfterMilliseconds(routed));
        fail(routed, code, retryAfter, deferred);
    }

    private void fail(
            RoutedRequest routed,
            ResultCode code,
            OptionalLong retryAfter,
            DeferredActions deferred) {
        routed.end();
        state.environment()
                .eventLog()
                .record(
                        LogEvent.named(code.isNotRun() ? "refuse" : "fail")
                                .with("request", routed.request().key())
                                .with("service", state.service().name())
                                .with("kind", routed.request().kind().name())
                                .with("code", code.number())
                                .with("retry_after_ms", retryAfter.orElse(0))
                                .with("attempts", routed.attemptCount()));
        String detail = "request=" + routed.request().key();
        ResultException failure =
                retryAfter.isPresent()
                        ? new ResultException(code, detail, retryAfter.getAsLong())
                        : new ResultException(code, detail);
        deferred.add(() -> routed.answer().completeExceptionally(failure));
    }
}
