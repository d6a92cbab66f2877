package org.siskinramp.ledger;

import org.siskinramp.request.Answer;

/** Says what a caller's non-idempotent request is to be given. */
public sealed interface ClaimResult {

    /**
     * Allows the request to run.
     *
     * @param claim the right to run it
     */
    record Granted(Claim claim) implements ClaimResult {}

    /**
     * Holds the answer of the earlier run, marked as replayed.
     *
     * @param answer the kept answer
     */
    record Kept(Answer answer) implements ClaimResult {}
}
