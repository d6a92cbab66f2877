package org.siskinramp.gateway;

import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.log.RequestDuration;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.DeferredActions;

/**
 * Completes requests in one of four ways: with an answer, refused as not run, failed so that the
 * request may have run, or cancelled because its caller has disconnected. Guarded by the lock of
 * the gateway.
 */
final class RequestCompletion {

    /**
     * Status of each refusal, whatever its result code; it guarantees that the request did not run.
     */
    private static final int REFUSED_STATUS = 503;

    private final GatewayEnvironment environment;

    RequestCompletion(GatewayEnvironment environment) {
        this.environment = environment;
    }

    void answer(RequestContext context, Answer answer, DeferredActions deferred) {
        context.tryComplete()
                .ifPresent(
                        future -> {
                            deferred.add(() -> future.complete(answer));
                            environment.counters().add(Counter.REQUESTS_ANSWERED);
                            recordEnd(
                                    "request_answered",
                                    context,
                                    answer.code(),
                                    answer.status(),
                                    "server");
                        });
    }

    /** Refuses a request that certainly did not run, with a retry-after delay. */
    void refuse(
            RequestContext context,
            ResultCode code,
            String reason,
            long expectedWaitMilliseconds,
            DeferredActions deferred) {
        long retryAfterMilliseconds =
                RetryAfterDelay.milliseconds(expectedWaitMilliseconds, environment.random());
        refuseWithDelay(context, code, reason, retryAfterMilliseconds, deferred);
    }

    /** Refuses a request that was shed by servers with free slots. */
    void refuseShedWithRoom(RequestContext context, DeferredActions deferred) {
        long retryAfterMilliseconds =
                RetryAfterDelay.whileServersHaveRoom(
                        context.route().latencyObjectiveMilliseconds(), environment.random());
        refuseWithDelay(
                context, ResultCode.SHED, "shed_with_room", retryAfterMilliseconds, deferred);
    }

    /** Refuses a request until a known time; jitter spreads the retries of the callers after it. */
    void refuseUntil(
            RequestContext context,
            ResultCode code,
            String reason,
            long waitMilliseconds,
            DeferredActions deferred) {
        long jitterMilliseconds = RetryAfterDelay.milliseconds(0, environment.random());
        refuseWithDelay(
                context,
                code,
                reason,
                Math.max(0, waitMilliseconds) + jitterMilliseconds,
                deferred);
    }

    /** Refuses a quarantined request for the rest of its quarantine. */
    void refuseQuarantined(
            RequestContext context, long retryAfterMilliseconds, DeferredActions deferred) {
        refuseWithDelay(
                context, ResultCode.QUARANTINED, "quarantined", retryAfterMilliseconds, deferred);
    }

    private void refuseWithDelay(
            RequestContext context,
            ResultCode code,
            String reason,
            long retryAfterMilliseconds,
            DeferredActions deferred) {
        ResultException refusal = new ResultException(code, reason, retryAfterMilliseconds);
        context.tryComplete()
                .ifPresent(
                        future -> {
                            deferred.add(() -> future.completeExceptionally(refusal));
                            environment.counters().add(Counter.REQUESTS_REFUSED);
                            recordEnd("request_refused", context, code, REFUSED_STATUS, reason);
                        });
    }

    /** Fails a request that may have run. */
    void fail(RequestContext context, ResultCode code, String reason, DeferredActions deferred) {
        ResultException failure = new ResultException(code, reason);
        context.tryComplete()
                .ifPresent(
                        future -> {
                            deferred.add(() -> future.completeExceptionally(failure));
                            environment.counters().add(Counter.REQUESTS_FAILED);
                            recordEnd("request_failed", context, code, code.httpStatus(), reason);
                        });
    }

    /** Cancels a request; returns false if it was completed before. */
    boolean cancel(RequestContext context) {
        if (context.tryComplete().isEmpty()) {
            return false;
        }
        long now = environment.clock().monotonicMilliseconds();
        environment.counters().add(Counter.CALLERS_LEFT);
        environment
                .eventLog()
                .record(
                        LogEvent.named("request_cancelled")
                                .with("request", context.request().key().requestId())
                                .with("service", context.request().service())
                                .with("attempts", context.sendCount())
                                .with("attempts_in_flight", context.openAttempts().size())
                                .with("took_ms", now - context.request().arrivedMilliseconds()));
        return true;
    }

    private void recordEnd(
            String event, RequestContext context, ResultCode code, int status, String reason) {
        long now = environment.clock().monotonicMilliseconds();
        long took = now - context.request().arrivedMilliseconds();
        environment.metricsRecorder().recordEnd(event, code.number(), reason);
        environment
                .metricsRecorder()
                .recordDuration(RequestDuration.WHOLE, context.route().isIdempotent(), took);
        LogEvent line =
                LogEvent.named(event)
                        .with("request", context.request().key().requestId())
                        .with("content", context.request().contentHash())
                        .with("route", context.route().name())
                        .with("service", context.request().service())
                        .with("result_code", code.number())
                        .with("status", status)
                        .with("reason", reason)
                        .with("attempts", context.sendCount())
                        .with("took_ms", took);
        environment
                .eventLog()
                .record(
                        context.request()
                                .workspace()
                                .map(workspace -> line.with("workspace", workspace.name()))
                                .orElse(line));
    }
}
