package org.siskinramp.ledger;

import java.util.Locale;

/** Says how far a claim has come. */
public enum ClaimState {
    /** The request may be running. */
    CLAIMED,
    /** The request ran and its answer is known. */
    FINISHED,
    /** The request may have run; its answer never came. */
    UNKNOWN,
    /** The request did not run under this claim, and another claim may follow. */
    RELEASED;

    /**
     * Returns the word used in rows.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    static ClaimState ofWord(String word) {
        return valueOf(word.toUpperCase(Locale.ROOT));
    }
}
