package org.siskinramp.quota;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.log.RequestMetricsRecorder;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.request.Request;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.route.Route;
import org.siskinramp.workspace.Workspace;

/**
 * Admits requests of workspaces within their quotas before the gateway queues them. Requests beyond
 * a quota would otherwise take the places of other workspaces in the queue. The token of a request
 * that certainly did not run is returned.
 */
public final class LimitedGateway {

    private final QuotaLimiter limiter;
    private final Destination destination;
    private final EventLog eventLog;
    private final RequestMetricsRecorder metrics;

    /**
     * Creates a limited gateway.
     *
     * @param limiter decides about requests
     * @param destination handles admitted requests
     * @param eventLog records refusals
     * @param metrics records refusals
     */
    public LimitedGateway(
            QuotaLimiter limiter,
            Destination destination,
            EventLog eventLog,
            RequestMetricsRecorder metrics) {
        this.limiter = limiter;
        this.destination = destination;
        this.eventLog = eventLog;
        this.metrics = metrics;
    }

    /**
     * Handles a request, or refuses it if the quota of its workspace is used up.
     *
     * @param request the request
     * @param route its route
     * @param connection tells whether the caller still waits
     * @return the answer; cancelling the future cancels the request
     */
    public CompletableFuture<Answer> handle(
            Request request, Route route, CallerConnection connection) {
        Optional<Workspace> limited = request.workspace().filter(Workspace::hasQuota);
        if (limited.isEmpty()) {
            return destination.handle(request, route, connection);
        }
        String workspace = limited.get().name();
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        CompletableFuture<QuotaDecision> decision = limiter.acquire(workspace);
        Futures.whenDone(
                answer,
                (value, failure) -> {
                    boolean unused = answer.isCancelled() && decision.cancel(false);
                });
        Futures.whenDone(
                decision,
                (made, failure) -> {
                    if (failure != null) {
                        answer.completeExceptionally(ResultException.from(failure));
                    } else if (made.isGranted()) {
                        forward(new Admitted(request, route, connection, made, answer));
                    } else {
                        refuse(request, workspace, made.retryAfterMilliseconds(), answer);
                    }
                });
        return answer;
    }

    private void refuse(
            Request request,
            String workspace,
            long retryAfterMilliseconds,
            CompletableFuture<Answer> answer) {
        eventLog.record(
                LogEvent.named("quota_refused")
                        .with("request", request.key().requestId())
                        .with("workspace", workspace)
                        .with("retry_after_ms", retryAfterMilliseconds));
        metrics.recordEnd("request_refused", ResultCode.QUOTA_EXCEEDED.number(), "quota");
        answer.completeExceptionally(
                new ResultException(
                        ResultCode.QUOTA_EXCEEDED,
                        "workspace=" + workspace,
                        retryAfterMilliseconds));
    }

    private void forward(Admitted admitted) {
        if (admitted.answer.isDone()) {
            release(admitted);
            return;
        }
        SendObserver observer = new SendObserver(admitted.connection);
        CompletableFuture<Answer> handled =
                Futures.call(() -> destination.handle(admitted.request, admitted.route, observer));
        Futures.whenDone(
                handled,
                (value, failure) -> {
                    boolean isNotRun =
                            failure != null
                                    && (!observer.mayHaveSent
                                            || ResultException.from(failure).code().isNotRun());
                    if (isNotRun) {
                        release(admitted);
                    }
                });
        Futures.forward(handled, admitted.answer);
        Futures.whenDone(
                admitted.answer,
                (value, failure) -> {
                    boolean unused = admitted.answer.isCancelled() && handled.cancel(false);
                });
    }

    private void release(Admitted admitted) {
        admitted.request
                .workspace()
                .ifPresent(workspace -> limiter.release(workspace.name(), admitted.decision));
    }

    /** Handles an admitted request. */
    @FunctionalInterface
    public interface Destination {

        /**
         * Handles a request.
         *
         * @param request the request
         * @param route its route
         * @param connection is asked right before each attempt is sent
         * @return the answer; cancelling the future cancels the request
         */
        CompletableFuture<Answer> handle(Request request, Route route, CallerConnection connection);
    }

    private record Admitted(
            Request request,
            Route route,
            CallerConnection connection,
            QuotaDecision decision,
            CompletableFuture<Answer> answer) {}

    /** Observes whether an attempt may have been sent: the caller's connection is asked before. */
    private static final class SendObserver implements CallerConnection {

        private final CallerConnection connection;
        private volatile boolean mayHaveSent;

        private SendObserver(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public boolean isOpen() {
            boolean isOpen = connection.isOpen();
            if (isOpen) {
                mayHaveSent = true;
            }
            return isOpen;
        }
    }
}
