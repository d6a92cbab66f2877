package org.siskinramp.gateway;

import org.siskinramp.attempt.AttemptFailure;

/**
 * Says what follows the end of an attempt. Only proof that a request did not run lets it repeat.
 */
enum AttemptVerdict {
    /** The answer goes to the caller. */
    DELIVER,
    /** The request is sent again if it may, else the answer goes to the caller. */
    REPEAT_OR_DELIVER,
    /** The request is sent again if it may, else it is refused as not run. */
    REPEAT_OR_REFUSE,
    /** The request is sent again if it may, else it fails without a promise. */
    REPEAT_OR_FAIL,
    /** The request may have run and must not run twice: it fails without a promise. */
    FAIL;

    private static final int FIRST_SERVER_ERROR = 500;

    /** Judges a whole answer of the server itself. */
    static AttemptVerdict ofAnswer(int status, boolean idempotent) {
        return status >= FIRST_SERVER_ERROR && idempotent ? REPEAT_OR_DELIVER : DELIVER;
    }

    /** Judges an attempt without a usable answer. */
    static AttemptVerdict ofFailure(AttemptFailure failure, boolean idempotent) {
        if (failure.isNotRun()) {
            return REPEAT_OR_REFUSE;
        }
        return idempotent ? REPEAT_OR_FAIL : FAIL;
    }
}
