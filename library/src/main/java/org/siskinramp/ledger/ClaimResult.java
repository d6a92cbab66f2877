package org.siskinramp.ledger;

import org.siskinramp.request.Answer;

/** The result of claiming a non-idempotent request. */
public sealed interface ClaimResult {

    /**
     * The claim was granted, so that the request may run.
     *
     * @param claim the claim
     */
    record Granted(Claim claim) implements ClaimResult {}

    /**
     * The request has run before, and its answer is replayed.
     *
     * @param answer the stored answer, marked as replayed
     */
    record Replayed(Answer answer) implements ClaimResult {}
}
