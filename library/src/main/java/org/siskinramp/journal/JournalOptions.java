package org.siskinramp.journal;

/**
 * Holds the time and size limits of writing and searching the journal.
 *
 * @param maximumBatchEntries the maximum number of entries in a batch
 * @param maximumBatchDelayMilliseconds the maximum time that an entry waits for its batch
 * @param minimumBatchIntervalMilliseconds the minimum interval between two batches
 * @param idleIntervalMilliseconds how often a host without requests writes an empty batch
 * @param indexIntervalMilliseconds how often an index is written
 * @param maximumWaitingEntries the maximum number of entries that wait to be written, such as while
 *     the object store is unavailable; the oldest are dropped first
 * @param callTimeLimitMilliseconds the time limit of a call to the object store
 * @param lookbackMilliseconds how far back an inquiry searches
 * @param lostAfterMilliseconds after how long without a batch a host counts as lost
 */
public record JournalOptions(
        int maximumBatchEntries,
        long maximumBatchDelayMilliseconds,
        long minimumBatchIntervalMilliseconds,
        long idleIntervalMilliseconds,
        long indexIntervalMilliseconds,
        int maximumWaitingEntries,
        long callTimeLimitMilliseconds,
        long lookbackMilliseconds,
        long lostAfterMilliseconds) {

    /** The default options. */
    public static final JournalOptions DEFAULT =
            new JournalOptions(500, 1_000, 250, 10_000, 60_000, 20_000, 2_000, 7_200_000, 60_000);
}
