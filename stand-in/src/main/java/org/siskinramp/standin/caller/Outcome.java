package org.siskinramp.standin.caller;

/** Says what a caller knows of its request in the end, from the weakest to the strongest. */
enum Outcome {
    /** Refused, with the promise that it did not run. */
    NOT_RUN,
    /** Failed by an answer that says so. */
    FAILED,
    /** May have run; nothing more is known. */
    UNKNOWN,
    /** Answered whole. */
    ANSWERED;

    Outcome strongest(Outcome other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
