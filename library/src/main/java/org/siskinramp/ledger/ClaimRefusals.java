package org.siskinramp.ledger;

import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/** Words the refusals of claims. */
final class ClaimRefusals {

    static final long RETRY_MILLISECONDS = 500;

    private static final long LONGEST_RETRY_MILLISECONDS = 2_000;

    private ClaimRefusals() {}

    static ResultException reused(String detail) {
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
                        RETRY_MILLISECONDS,
                        Math.min(remainingMilliseconds, LONGEST_RETRY_MILLISECONDS)));
    }

    static ResultException unknown(ClaimRow row) {
        return new ResultException(
                ResultCode.OUTCOME_UNKNOWN,
                "claimed by host=" + row.host() + " incarnation=" + row.incarnation());
    }

    /** Words the refusal for a row that another attempt holds and that is not finished. */
    static ResultException ofOpenRow(ClaimRow row, Clock clock, long marginMilliseconds) {
        long remaining = row.deadlineMilliseconds() - clock.calendarMilliseconds();
        if (row.state() == ClaimState.UNKNOWN || remaining < -marginMilliseconds) {
            return unknown(row);
        }
        return inProgress(
                "claimed by host=" + row.host() + " incarnation=" + row.incarnation(), remaining);
    }
}
