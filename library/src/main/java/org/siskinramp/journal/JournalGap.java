package org.siskinramp.journal;

/**
 * Names a time in which requests may have ended on an entry host without a record.
 *
 * @param host the entry host
 * @param incarnation its incarnation, or an empty string if unknown
 * @param fromMilliseconds the start, in calendar milliseconds
 * @param untilMilliseconds the end, in calendar milliseconds
 * @param droppedEntries how many entries are missing, or -1 if unknown
 * @param reason why they are missing
 */
public record JournalGap(
        String host,
        String incarnation,
        long fromMilliseconds,
        long untilMilliseconds,
        long droppedEntries,
        String reason) {

    /** Stands for an unknown number of missing entries. */
    public static final long UNKNOWN = -1;
}
