package org.siskinramp.journal;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.siskinramp.ledger.ClaimRow;

/**
 * Holds all that is known of one request.
 *
 * @param claim the claim row, if there is one that can be read
 * @param claimMalformed whether there is a claim row that cannot be read
 * @param findings what the journal knows
 * @param nowMilliseconds when the claim was read, in calendar milliseconds
 */
record Evidence(
        Optional<ClaimRow> claim,
        boolean claimMalformed,
        JournalFindings findings,
        long nowMilliseconds) {

    List<JournalEntry> entries(Predicate<JournalEntry> filter) {
        return findings.entries().stream().map(RecordedEntry::entry).filter(filter).toList();
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
                                        && entry.tries() == 0);
    }
}
