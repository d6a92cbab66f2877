package org.siskinramp.ledger;

import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/** Creates the exceptions with which claims are refused. */
final class ClaimRefusals {

    static final long RETRY_AFTER_MILLISECONDS = 500;

    private static final long MAXIMUM_RETRY_AFTER_MILLISECONDS = 2_000;

    private ClaimRefusals() {}

    static ResultException requestIdReused(String detail) {
        return new ResultException(ResultCode.REQUEST_ID_REUSED, detail);
    }

    static ResultException unconfirmed(String detail, long retryAfterMilliseconds) {
        return new ResultException(
                ResultCode.CLAIM_UNCONFIRMED,
                detail + "; this copy was not run, and other copies of it are not known",
                retryAfterMilliseconds);
    }

    static ResultException inProgress(String detail, long remainingMilliseconds) {
        return new ResultException(
                ResultCode.IN_PROGRESS,
                detail,
                Math.max(
                        RETRY_AFTER_MILLISECONDS,
                        Math.min(remainingMilliseconds, MAXIMUM_RETRY_AFTER_MILLISECONDS)));
    }

    static ResultException outcomeUnknown(ClaimRow row) {
        return new ResultException(
                ResultCode.OUTCOME_UNKNOWN,
                "claimed by host=" + row.host() + " incarnation=" + row.incarnation());
    }

    /**
     * Returns the refusal if the row holds another claim of the request, which is neither finished
     * nor released. Its outcome is unknown if the row says so, or if its deadline plus the clock
     * margin has passed; otherwise it is in progress.
     */
    static ResultException ofUnfinishedRow(
            ClaimRow row, Clock clock, long clockMarginMilliseconds) {
        long remaining = row.deadlineMilliseconds() - clock.calendarMilliseconds();
        if (row.state() == ClaimState.UNKNOWN || remaining < -clockMarginMilliseconds) {
            return outcomeUnknown(row);
        }
        return inProgress(
                "claimed by host=" + row.host() + " incarnation=" + row.incarnation(), remaining);
    }
}
