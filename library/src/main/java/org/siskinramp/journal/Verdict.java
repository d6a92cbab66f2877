package org.siskinramp.journal;

import java.util.Locale;

/** What became of a request. */
public enum Verdict {
    /** No copy of the request has run. */
    DID_NOT_RUN,
    /** The request ran exactly once. */
    RAN_ONCE,
    /** The request is idempotent and ran, once or several times. */
    RAN_IDEMPOTENT,
    /** The request is idempotent and was sent, but no answer proves that it ran. */
    MAY_HAVE_RUN_IDEMPOTENT,
    /** A copy of the request holds an open claim, and its deadline has not passed. */
    IN_PROGRESS,
    /** It is not known whether the request ran; it ran at most once. */
    MAY_HAVE_RUN_AT_MOST_ONCE,
    /** The records do not show what became of the request. */
    NO_RECORD;

    /**
     * Returns the label.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
