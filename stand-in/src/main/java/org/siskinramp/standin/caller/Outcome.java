package org.siskinramp.standin.caller;

/**
 * What a caller finally knows about its request. If copies of a request end differently, the
 * outcome that comes last in this order counts.
 */
enum Outcome {
    /** Refused, with the statement that it did not run. */
    NOT_RUN,
    /** Answered with an error. */
    FAILED,
    /** May have run: no answer, or an answer that leaves it open. */
    UNKNOWN,
    /** Answered successfully. */
    ANSWERED;

    Outcome stronger(Outcome other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
