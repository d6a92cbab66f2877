/**
 * Claims, which ensure that a non-idempotent request runs at most once, whichever entry hosts its
 * copies reach.
 *
 * <p>A claim is a row of the table {@code claims}, keyed by caller and request identifier. A row is
 * inserted only if it is absent, with a token that is unique to the claim, and is never deleted: a
 * release replaces its content. The version of a row therefore only increases, and a delayed write
 * fails its version condition once another write of the row has taken effect. A claim that could
 * not be confirmed is fenced in the same way: the row is replaced, or inserted, as released, so
 * that the condition of the delayed write no longer holds. Old claims are not removed yet. A future
 * removal must preserve this property, since a deleted row starts again at version 1.
 *
 * <p>Locks: {@link org.siskinramp.ledger.ClaimTable}, {@code ClaimQueue}, {@code SettlementWriter},
 * {@code CircuitBreaker}, {@code TransactionRateLimiter}, {@code TokenGenerator} and {@link
 * org.siskinramp.ledger.SuspectRequests} have one lock each. None of these locks is acquired while
 * another is held, and no future is completed and no call to the platform made under one. {@code
 * TransactionRateLimiter} calls the supplier of the number of entry hosts under its lock.
 */
package org.siskinramp.ledger;
