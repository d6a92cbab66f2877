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
     * Returns the refusal for a claim of another attempt that is neither finished nor released: in
     * progress until its deadline plus the clock margin, then with an unknown outcome.
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
