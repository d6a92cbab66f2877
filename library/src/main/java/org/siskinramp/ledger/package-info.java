/**
 * Claims of non-idempotent requests: each runs at most once, whichever entry host it reaches.
 *
 * <p>A claim is a row of the table {@code claims}, keyed by caller and request identifier. A row is
 * inserted only if it is absent, with a token that is unique to the attempt, and is never deleted:
 * a release replaces it. Row versions therefore only rise, and a write that arrives late cannot
 * take effect once another write of the row has. A claim that could not be confirmed is fenced the
 * same way: the row is replaced, or inserted, as released, so that the late write finds its
 * condition broken. Nothing sweeps old claims yet; whoever adds that must keep this argument, since
 * a deleted row starts again at version 1.
 *
 * <p>Locks: {@link org.siskinramp.ledger.ClaimTable}, {@code ClaimQueue}, {@code Settlements},
 * {@code Circuit}, {@code WriteBudget} and {@link org.siskinramp.ledger.SuspectRequests} have one
 * lock each. No lock is taken while another is held, and no future is completed, no call to the
 * platform made under one.
 */
package org.siskinramp.ledger;
