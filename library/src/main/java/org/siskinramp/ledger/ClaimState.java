package org.siskinramp.ledger;

import java.util.Locale;

/** The state of a claim. */
public enum ClaimState {
    /** The claim is open: the request may be running. */
    CLAIMED,
    /** The request ran and its answer is known. */
    FINISHED,
    /** The request may have run, but its answer is not known. */
    UNKNOWN,
    /** The request did not run under this claim, and may be claimed again. */
    RELEASED;

    /**
     * Returns the label, which is stored in claim rows.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    static ClaimState ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }
}
