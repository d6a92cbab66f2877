package org.siskinramp.journal;

import java.util.List;

/**
 * Holds what the journal knows of one request.
 *
 * @param entries the entries, in the order of arrival
 * @param gaps the times without records
 * @param searchedFromMilliseconds how far back was searched
 * @param completeUntilMilliseconds until when the journal is complete but for the gaps
 */
record JournalFindings(
        List<RecordedEntry> entries,
        List<JournalGap> gaps,
        long searchedFromMilliseconds,
        long completeUntilMilliseconds) {

    JournalFindings {
        entries = List.copyOf(entries);
        gaps = List.copyOf(gaps);
    }
}
