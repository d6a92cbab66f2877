package org.siskinramp.journal;

import java.util.List;
import java.util.Objects;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;

/**
 * Records how one copy of a request ended on one entry host.
 *
 * @param key the caller and identifier
 * @param kind the kind of request
 * @param idempotent whether it may run several times
 * @param contentHash the hash of the request
 * @param claim the token of the claim that this copy was granted, or an empty string
 * @param attempts the attempts of this copy
 * @param resultCode the number of the result code
 * @param arrivedMilliseconds when it arrived, in calendar milliseconds
 * @param durationMilliseconds how long it took
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

    /** Copies the attempts so that the entry cannot change. */
    public JournalEntry {
        Objects.requireNonNull(key, "key");
        attempts = List.copyOf(attempts);
    }

    /**
     * Tells whether this copy, or an earlier one that it was given the answer of, certainly ran.
     */
    boolean ran() {
        return resultCode == ResultCode.ANSWERED.number()
                || resultCode == ResultCode.REPLAYED.number()
                || attempts.stream().anyMatch(JournalAttempt::ran);
    }

    /** Counts the attempts in which this copy may have run. */
    int tries() {
        return (int) attempts.stream().filter(JournalAttempt::mayHaveRun).count();
    }

    /** Tells whether the result promises that this copy did not run. */
    boolean isNotRun() {
        for (ResultCode code : ResultCode.values()) {
            if (code.number() == resultCode) {
                return code.isNotRun();
            }
        }
        return false;
    }
}
