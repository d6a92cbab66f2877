package org.siskinramp.journal;

import java.util.List;

/**
 * Holds the result of searching the journals of all entry hosts for one request.
 *
 * @param entries the journal entries of the request, in the order of arrival
 * @param gaps the gaps in the journals
 * @param searchedFromMilliseconds the start of the searched time, in calendar milliseconds
 * @param completeUntilMilliseconds until when the journals are complete except for the gaps, in
 *     calendar milliseconds
 */
record JournalSearchResult(
        List<RecordedEntry> entries,
        List<JournalGap> gaps,
        long searchedFromMilliseconds,
        long completeUntilMilliseconds) {

    JournalSearchResult {
        entries = List.copyOf(entries);
        gaps = List.copyOf(gaps);
    }
}
