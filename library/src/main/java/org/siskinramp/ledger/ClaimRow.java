package org.siskinramp.ledger;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds the content of a claim row.
 *
 * @param state how far the claim has come
 * @param token the token of the attempt
 * @param host the entry host of the attempt
 * @param incarnation the incarnation of the entry host
 * @param contentHash the hash of the request's content
 * @param claimedMilliseconds when it was claimed, in calendar milliseconds
 * @param deadlineMilliseconds when the caller stops waiting, in calendar milliseconds
 * @param settledMilliseconds when the state was last changed, in calendar milliseconds, or 0
 * @param answer the answer of a finished request, unless it was not kept
 */
public record ClaimRow(
        ClaimState state,
        String token,
        String host,
        String incarnation,
        String contentHash,
        long claimedMilliseconds,
        long deadlineMilliseconds,
        long settledMilliseconds,
        Optional<KeptAnswer> answer) {

    /** Checks that no part is missing. */
    public ClaimRow {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(contentHash, "contentHash");
    }

    ClaimRow settled(ClaimState newState, long calendarMilliseconds, Optional<KeptAnswer> kept) {
        return new ClaimRow(
                newState,
                token,
                host,
                incarnation,
                contentHash,
                claimedMilliseconds,
                deadlineMilliseconds,
                calendarMilliseconds,
                kept);
    }
}
