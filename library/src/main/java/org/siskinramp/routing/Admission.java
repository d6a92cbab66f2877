package org.siskinramp.routing;

import java.util.Optional;
import org.siskinramp.result.ResultCode;

/**
 * Decides whether a request can be answered before its deadline, and computes the retry-after delay
 * if not. It changes no state and is guarded by the lock of the service.
 */
final class Admission {

    private final ServiceRoutingState state;

    Admission(ServiceRoutingState state) {
        this.state = state;
    }

    /**
     * Tells whether a request for which no slot is free must be refused at once.
     *
     * @param routed the request
     * @return the reason to refuse it, or empty if it may be queued
     */
    Optional<ResultCode> refusalOf(RoutedRequest routed) {
        if (!state.hasServerForNewWork()) {
            return Optional.of(ResultCode.NO_BACKEND_SERVER);
        }
        if (state.queue().size() >= state.service().queueLimit()) {
            return Optional.of(ResultCode.QUEUE_FULL);
        }
        if (state.now() + expectedWaitMilliseconds(routed) > latestStart(routed)) {
            return Optional.of(ResultCode.DEADLINE_UNREACHABLE);
        }
        return Optional.empty();
    }

    /**
     * Returns the latest time at which a request can start and still be answered before its
     * deadline, in monotonic milliseconds.
     */
    long latestStart(RoutedRequest routed) {
        long deadline = routed.request().deadlineMilliseconds();
        long timeLeft = deadline - routed.request().arrivedMilliseconds();
        return deadline - Math.min(state.typicalLatencyMilliseconds(), timeLeft / 2);
    }

    /**
     * Estimates how long a request would wait in the queue.
     *
     * @param routed the request
     * @return the wait in milliseconds
     */
    private long expectedWaitMilliseconds(RoutedRequest routed) {
        if (state.mustRunAlone(routed)) {
            return state.isolation().waitMilliseconds(state.now());
        }
        int requestsAhead =
                state.queue().countAhead(routed.request().kind().weight(), latestStart(routed));
        int slots = Math.max(1, state.slots().own().size() + state.slots().borrowed().size());
        return requestsAhead * state.typicalLatencyMilliseconds() / slots;
    }

    /** Returns the retry-after delay for a refused request, in milliseconds. */
    long retryAfterMilliseconds(RoutedRequest routed) {
        if (state.mustRunAlone(routed)) {
            Isolation isolation = state.isolation();
            long wait = isolation.waitMilliseconds(state.now());
            return Math.min(wait, isolation.pauseMilliseconds()) + 1;
        }
        int slots = Math.max(1, state.slots().own().size());
        return (state.queue().size() + 1) * state.typicalLatencyMilliseconds() / slots + 1;
    }
}
