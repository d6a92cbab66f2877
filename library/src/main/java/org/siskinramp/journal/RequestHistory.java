package org.siskinramp.journal;

import java.util.List;
import java.util.Optional;
import org.siskinramp.ledger.ClaimRow;
import org.siskinramp.request.RequestKey;

/**
 * Reports what became of a request, and the records that show it.
 *
 * @param key the caller and identifier
 * @param verdict what became of the request
 * @param possibleRuns for an idempotent request, the number of recorded attempts in which it may
 *     have run; otherwise 0
 * @param reason the reason for the verdict, in one sentence
 * @param claim the content of the claim row, if there is a readable one
 * @param entries the journal entries of the request, in the order of arrival
 * @param gaps the periods in which requests may have ended without a journal entry
 * @param searchedFromMilliseconds the start of the searched time, in calendar milliseconds
 * @param completeUntilMilliseconds until when the journals are complete except for the gaps, in
 *     calendar milliseconds
 */
public record RequestHistory(
        RequestKey key,
        Verdict verdict,
        int possibleRuns,
        String reason,
        Optional<ClaimRow> claim,
        List<RecordedEntry> entries,
        List<JournalGap> gaps,
        long searchedFromMilliseconds,
        long completeUntilMilliseconds) {

    /** Copies the lists, so that they are immutable. */
    public RequestHistory {
        entries = List.copyOf(entries);
        gaps = List.copyOf(gaps);
    }
}
