package org.siskinramp.ledger;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds the content of a claim row.
 *
 * @param state the state of the claim
 * @param token the token, which is unique to the claim
 * @param host the entry host that claimed the request
 * @param incarnation the incarnation of the entry host
 * @param contentHash the hash of the request's content
 * @param claimedMilliseconds when the request was claimed, in calendar milliseconds
 * @param deadlineMilliseconds the deadline of the request, in calendar milliseconds
 * @param settledMilliseconds when the claim was settled, in calendar milliseconds; 0 while it is
 *     open
 * @param answer the stored answer, if the request has finished
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
        Optional<StoredAnswer> answer) {

    /** Checks that the state, the token and the content hash are present. */
    public ClaimRow {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(contentHash, "contentHash");
    }

    ClaimRow withState(
            ClaimState newState, long calendarMilliseconds, Optional<StoredAnswer> storedAnswer) {
        return new ClaimRow(
                newState,
                token,
                host,
                incarnation,
                contentHash,
                claimedMilliseconds,
                deadlineMilliseconds,
                calendarMilliseconds,
                storedAnswer);
    }
}
