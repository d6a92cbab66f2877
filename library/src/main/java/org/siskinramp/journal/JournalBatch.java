package org.siskinramp.journal;

import java.util.List;

/**
 * Holds entries of one host in the order of their ends.
 *
 * @param host the entry host
 * @param incarnation its incarnation
 * @param sequence the number of the batch, from 1
 * @param coveredUntilMilliseconds until when all ends on this host are in this batch, an earlier
 *     one or a gap, in calendar milliseconds
 * @param entries the entries
 * @param gaps what was dropped since the last batch
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
