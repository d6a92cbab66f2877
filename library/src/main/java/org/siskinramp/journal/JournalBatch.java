package org.siskinramp.journal;

import java.util.List;

/**
 * Holds journal entries of one host, in the order in which the requests ended.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param sequence the sequence number of the batch; the first of an incarnation is 1
 * @param coveredUntilMilliseconds the time, in calendar milliseconds, until which every request
 *     that ended on this host is in this batch, in an earlier one or in a gap
 * @param entries the entries
 * @param gaps the gap of the entries dropped since the last batch, if any
 */
record JournalBatch(
        String host,
        String incarnation,
        long sequence,
        long coveredUntilMilliseconds,
        List<JournalEntry> entries,
        List<JournalGap> gaps) {

    JournalBatch {
        entries = List.copyOf(entries);
        gaps = List.copyOf(gaps);
    }

    BatchName name() {
        return new BatchName(
                host,
                incarnation,
                sequence,
                coveredUntilMilliseconds,
                entries.size(),
                !gaps.isEmpty());
    }
}
