package org.siskinramp.daemon.caller;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Decides which requests are admitted, by their number and by the state of the shutdown. */
final class RequestAdmission {

    /** A new connection reaches another host as soon as the balancer knows of the shutdown. */
    private static final long RETRY_DELAY_WHEN_STOPPING_MILLISECONDS = 50;

    private final int concurrentRequestLimit;
    private final ActivityCounter requestsInProgress = new ActivityCounter();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicBoolean keepAliveDisabled = new AtomicBoolean();
    private final AtomicLong latestDeadlineMilliseconds = new AtomicLong(Long.MAX_VALUE);

    RequestAdmission(int concurrentRequestLimit) {
        this.concurrentRequestLimit = concurrentRequestLimit;
    }

    ActivityCounter requestsInProgress() {
        return requestsInProgress;
    }

    void refuseNewRequests() {
        stopping.set(true);
    }

    boolean isStopping() {
        return stopping.get();
    }

    /** Closes each connection after its next answer, so that callers reconnect to other hosts. */
    void disableKeepAlive() {
        keepAliveDisabled.set(true);
    }

    /** Tells whether connections close after their next answer. */
    boolean closesConnections() {
        return stopping.get() || keepAliveDisabled.get();
    }

    /** Refuses requests that may still be in progress after a time. */
    void refuseRequestsBeyond(long milliseconds) {
        latestDeadlineMilliseconds.set(milliseconds);
    }

    /** Counts a request as in progress; throws a {@link ResultException} if too many are. */
    void begin() {
        if (!requestsInProgress.begin(concurrentRequestLimit)) {
            throw new ResultException(
                    ResultCode.TOO_MANY_REQUESTS,
                    "limit=" + concurrentRequestLimit,
                    BodyMemoryBudget.RETRY_DELAY_MILLISECONDS);
        }
    }

    /** A request that the shutdown would cut is refused, since another host can serve it. */
    void checkDeadline(AcceptedRequest accepted) {
        if (accepted.deadlineMilliseconds() > latestDeadlineMilliseconds.get()) {
            throw stopping("the deadline lies beyond the end of the shutdown");
        }
    }

    static ResultException stopping(String detail) {
        return new ResultException(
                ResultCode.STOPPING, detail, RETRY_DELAY_WHEN_STOPPING_MILLISECONDS);
    }
}
