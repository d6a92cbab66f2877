package org.siskinramp.gateway;

import org.siskinramp.attempt.AttemptFailure;

/**
 * What to do after an attempt has ended. A request that is not idempotent is retried only if it
 * certainly did not run.
 */
enum AttemptVerdict {
    /** The answer goes to the caller. */
    DELIVER,
    /** The request is retried if possible; otherwise the answer goes to the caller. */
    REPEAT_OR_DELIVER,
    /** The request is retried if possible; otherwise it is refused as not run. */
    REPEAT_OR_REFUSE,
    /** The request is retried if possible; otherwise it fails and may have run. */
    REPEAT_OR_FAIL,
    /** The request fails: it may have run and must not run twice. */
    FAIL;

    private static final int FIRST_SERVER_ERROR = 500;

    /** Returns the verdict on a complete answer of the server itself. */
    static AttemptVerdict ofAnswer(int status, boolean idempotent) {
        return status >= FIRST_SERVER_ERROR && idempotent ? REPEAT_OR_DELIVER : DELIVER;
    }

    /** Returns the verdict on an attempt without a usable answer. */
    static AttemptVerdict ofFailure(AttemptFailure failure, boolean idempotent) {
        if (failure.isNotRun()) {
            return REPEAT_OR_REFUSE;
        }
        return idempotent ? REPEAT_OR_FAIL : FAIL;
    }
}
