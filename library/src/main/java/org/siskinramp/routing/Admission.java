package org.siskinramp.routing;

import java.util.Optional;
import org.siskinramp.result.ResultCode;

/**
 * Tells whether a request can be answered in time, and when to come again if not. It changes
 * nothing and is guarded by the lock of the service.
 */
final class Admission {

    private final ServiceState state;

    Admission(ServiceState state) {
        this.state = state;
    }

    /**
     * Tells whether a request that has to wait would be refused at once.
     *
     * @param run the request
     * @return the reason to refuse it, or empty if it may wait
     */
    Optional<ResultCode> refusalOf(RequestRun run) {
        if (!state.hasServerForNewWork()) {
            return Optional.of(ResultCode.NO_BACKEND_SERVER);
        }
        if (state.queue().size() >= state.service().queueLimit()) {
            return Optional.of(ResultCode.QUEUE_FULL);
        }
        if (state.now() + expectedWaitMilliseconds(run) > latestStart(run)) {
            return Optional.of(ResultCode.DEADLINE_UNREACHABLE);
        }
        return Optional.empty();
    }

    /** Returns when a request must start at the latest to be answered in time. */
    long latestStart(RequestRun run) {
        long deadline = run.request().deadlineMilliseconds();
        long timeLeft = deadline - run.request().arrivedMilliseconds();
        return deadline - Math.min(state.typicalLatencyMilliseconds(), timeLeft / 2);
    }

    /**
     * Estimates how long a request would wait.
     *
     * @param run the request
     * @return milliseconds
     */
    private long expectedWaitMilliseconds(RequestRun run) {
        if (state.mustRunAlone(run)) {
            return state.isolation().waitMilliseconds(state.now());
        }
        int ahead = state.queue().countAhead(run.request().kind().weight(), latestStart(run));
        int slots = Math.max(1, state.slots().own().size() + state.slots().borrowed().size());
        return ahead * state.typicalLatencyMilliseconds() / slots;
    }

    /** Returns when it makes sense that a refused request comes again, in milliseconds from now. */
    long retryAfterMilliseconds(RequestRun run) {
        if (state.mustRunAlone(run)) {
            Isolation isolation = state.isolation();
            long wait = isolation.waitMilliseconds(state.now());
            return Math.min(wait, isolation.pauseMilliseconds()) + 1;
        }
        int slots = Math.max(1, state.slots().own().size());
        return (state.queue().size() + 1) * state.typicalLatencyMilliseconds() / slots + 1;
    }
}
