package org.siskinramp.journal;

import java.util.List;
import java.util.Optional;
import org.siskinramp.ledger.ClaimRow;
import org.siskinramp.request.RequestKey;

/**
 * Tells what became of a request, and from what that is known.
 *
 * @param key the caller and identifier
 * @param verdict what became of it
 * @param tries for an idempotent request the recorded attempts in which it may have run
 * @param reason why, in one sentence
 * @param claim the request's claim
 * @param entries the journal's entries, in the order of arrival
 * @param gaps times in which ends of requests may have gone unrecorded
 * @param searchedFromMilliseconds how far back the journal was searched, in calendar milliseconds
 * @param completeUntilMilliseconds until when the journal is complete but for the gaps
 */
public record RequestHistory(
        RequestKey key,
        Verdict verdict,
        int tries,
        String reason,
        Optional<ClaimRow> claim,
        List<RecordedEntry> entries,
        List<JournalGap> gaps,
        long searchedFromMilliseconds,
        long completeUntilMilliseconds) {

    /** Copies the lists so that the history cannot change. */
    public RequestHistory {
        entries = List.copyOf(entries);
        gaps = List.copyOf(gaps);
    }
}
