package org.siskinramp.journal;

/**
 * Bounds what the journal writes, keeps and searches.
 *
 * @param batchEntries how many entries one batch holds at most
 * @param batchIntervalMilliseconds how long an entry waits for its batch at most
 * @param batchGapMilliseconds the least time between two batches
 * @param idleIntervalMilliseconds how often a host without requests writes an empty batch
 * @param indexIntervalMilliseconds how often an index is written
 * @param waitingEntries how many entries wait at most while the store is down
 * @param callLimitMilliseconds how long a call to the object store may take
 * @param lookbackMilliseconds how far back an inquiry searches
 * @param lostAfterMilliseconds after how long without a batch a host counts as lost
 */
public record JournalOptions(
        int batchEntries,
        long batchIntervalMilliseconds,
        long batchGapMilliseconds,
        long idleIntervalMilliseconds,
        long indexIntervalMilliseconds,
        int waitingEntries,
        long callLimitMilliseconds,
        long lookbackMilliseconds,
        long lostAfterMilliseconds) {

    /** The options used unless told otherwise. */
    public static final JournalOptions DEFAULT =
            new JournalOptions(500, 1_000, 250, 10_000, 60_000, 20_000, 2_000, 7_200_000, 60_000);
}
