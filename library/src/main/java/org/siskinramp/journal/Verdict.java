package org.siskinramp.journal;

import java.util.Locale;

/** Says what became of a request. */
public enum Verdict {
    /** No copy of the request has run. */
    DID_NOT_RUN,
    /** The request ran exactly once. */
    RAN_ONCE,
    /** The request is idempotent and ran, once or several times. */
    RAN_IDEMPOTENT,
    /** The request is idempotent and was sent, but no answer proves that it ran. */
    MAY_HAVE_RUN_IDEMPOTENT,
    /** A copy of the request holds the right to run and has not ended. */
    IN_PROGRESS,
    /** Whether the request ran is not known; it ran once at most. */
    MAY_HAVE_RUN_AT_MOST_ONCE,
    /** Nothing that is recorded tells what became of the request. */
    NO_RECORD;

    /**
     * Returns the word that the administration API uses.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
