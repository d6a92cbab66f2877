package org.siskinramp.journal;

/**
 * A period in which requests may have ended on an entry host without a journal entry.
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

    /** The number of missing entries if it is unknown. */
    public static final long UNKNOWN = -1;
}
