package org.siskinramp.journal;

import java.util.List;
import java.util.Objects;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;

/**
 * Records the outcome of one copy of a request on one entry host.
 *
 * @param key the caller and identifier
 * @param kind the kind of request
 * @param idempotent whether the request may run several times
 * @param contentHash the hash of the request's content
 * @param claim the token of the claim that this copy was granted, or an empty string
 * @param attempts the attempts of this copy
 * @param resultCode the number of the {@link ResultCode}
 * @param arrivedMilliseconds when the copy arrived, in calendar milliseconds
 * @param durationMilliseconds the time from its arrival to its end, in milliseconds
 */
public record JournalEntry(
        RequestKey key,
        String kind,
        boolean idempotent,
        String contentHash,
        String claim,
        List<JournalAttempt> attempts,
        int resultCode,
        long arrivedMilliseconds,
        long durationMilliseconds) {

    /** Copies the attempts, so that they are immutable. */
    public JournalEntry {
        Objects.requireNonNull(key, "key");
        attempts = List.copyOf(attempts);
    }

    /**
     * Tells whether the request certainly ran: this copy, or an earlier one whose answer was
     * replayed.
     */
    boolean ran() {
        return resultCode == ResultCode.ANSWERED.number()
                || resultCode == ResultCode.REPLAYED.number()
                || attempts.stream().anyMatch(JournalAttempt::ran);
    }

    /** Returns the number of attempts in which this copy may have run. */
    int possibleRuns() {
        return (int) attempts.stream().filter(JournalAttempt::mayHaveRun).count();
    }

    /** Tells whether the result code guarantees that this copy did not run. */
    boolean isNotRun() {
        for (ResultCode code : ResultCode.values()) {
            if (code.number() == resultCode) {
                return code.isNotRun();
            }
        }
        return false;
    }
}
