package org.siskinramp.journal;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.siskinramp.ledger.ClaimRow;

/**
 * Holds all records of one request.
 *
 * @param claim the claim row, if there is a readable one
 * @param claimMalformed whether there is a malformed claim row
 * @param searchResult the result of searching the journals
 * @param nowMilliseconds when the claim was read, in calendar milliseconds
 */
record RequestRecords(
        Optional<ClaimRow> claim,
        boolean claimMalformed,
        JournalSearchResult searchResult,
        long nowMilliseconds) {

    List<JournalEntry> entries(Predicate<JournalEntry> filter) {
        return searchResult.entries().stream().map(RecordedEntry::entry).filter(filter).toList();
    }

    boolean has(Predicate<JournalEntry> filter) {
        return !entries(filter).isEmpty();
    }

    boolean isClaimed() {
        return claim.isPresent() || claimMalformed;
    }

    /** Tells whether the copy that holds the claim ended without having run. */
    boolean claimHolderDidNotRun() {
        return claim.isPresent()
                && has(
                        entry ->
                                entry.claim().equals(claim.get().token())
                                        && entry.isNotRun()
                                        && entry.possibleRuns() == 0);
    }
}
