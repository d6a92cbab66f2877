package org.siskinramp.journal;

import org.siskinramp.ledger.ClaimState;

/**
 * The verdict on a request and the reason for it.
 *
 * @param verdict what became of the request
 * @param possibleRuns for an idempotent request, the recorded attempts in which it may have run;
 *     otherwise 0
 * @param reason the reason for the verdict, in one sentence
 */
record ReasonedVerdict(Verdict verdict, int possibleRuns, String reason) {

    private static ReasonedVerdict of(Verdict verdict, String reason) {
        return new ReasonedVerdict(verdict, 0, reason);
    }

    /**
     * Derives the verdict that the records prove, in whatever order hosts processed the copies and
     * claims of the request.
     *
     * @param records all records of the request
     * @param options the maximum duration of a request, and the clock margin
     * @return the verdict
     */
    static ReasonedVerdict of(RequestRecords records, InquiryOptions options) {
        boolean idempotentAttemptMayHaveRun =
                records.has(
                        entry -> entry.idempotent() && (entry.ran() || entry.possibleRuns() > 0));
        if (idempotentAttemptMayHaveRun) {
            return ofIdempotentAttempts(records);
        }
        if (records.isClaimed() || records.has(entry -> !entry.idempotent())) {
            return ofClaim(records, options);
        }
        return records.has(entry -> true) ? ofRefusedCopies(records, options) : ofNoRecords();
    }

    private static ReasonedVerdict ofIdempotentAttempts(RequestRecords records) {
        int possibleRuns =
                records.entries(entry -> true).stream().mapToInt(JournalEntry::possibleRuns).sum();
        return records.has(JournalEntry::ran)
                ? new ReasonedVerdict(
                        Verdict.RAN_IDEMPOTENT,
                        possibleRuns,
                        "a backend server answered; more tries may be unrecorded")
                : new ReasonedVerdict(
                        Verdict.MAY_HAVE_RUN_IDEMPOTENT,
                        possibleRuns,
                        "it was sent, and no answer is recorded; more tries may be unrecorded");
    }

    /**
     * Derives the verdict on a non-idempotent request. It runs only under a claim, and a claim
     * under which it may have run is never replaced by another claim.
     */
    private static ReasonedVerdict ofClaim(RequestRecords records, InquiryOptions options) {
        if (hasState(records, ClaimState.FINISHED)) {
            return of(Verdict.RAN_ONCE, "its claim holds the outcome");
        }
        if (records.has(JournalEntry::ran)) {
            return of(Verdict.RAN_ONCE, "a host recorded the answer; its claim does not hold it");
        }
        if (records.has(entry -> entry.possibleRuns() > 0)) {
            return of(
                    Verdict.MAY_HAVE_RUN_AT_MOST_ONCE,
                    "it was sent once, and no answer is recorded");
        }
        if (records.claimMalformed()) {
            return of(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, "its claim cannot be read");
        }
        if (hasState(records, ClaimState.UNKNOWN)) {
            return of(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, "its claim says so");
        }
        if (hasState(records, ClaimState.CLAIMED)) {
            return ofOpenClaim(records, options);
        }
        return of(
                Verdict.DID_NOT_RUN,
                records.claim().isPresent()
                        ? "every claim of it was released before it was sent"
                        : "copies were refused, and no claim of it was ever committed");
    }

    private static ReasonedVerdict ofOpenClaim(RequestRecords records, InquiryOptions options) {
        if (records.claimHolderDidNotRun()) {
            return of(
                    Verdict.DID_NOT_RUN,
                    "the holder of its claim ended before it was sent; the release is on its way");
        }
        long deadline = records.claim().orElseThrow().deadlineMilliseconds();
        return records.nowMilliseconds() <= deadline + options.clockMarginMilliseconds()
                ? of(Verdict.IN_PROGRESS, "its claim is open and its deadline has not passed")
                : of(
                        Verdict.MAY_HAVE_RUN_AT_MOST_ONCE,
                        "its claim is open past the deadline, and its host recorded no end");
    }

    private static boolean hasState(RequestRecords records, ClaimState state) {
        return records.claim().filter(row -> row.state() == state).isPresent();
    }

    /**
     * Derives the verdict on an idempotent request of which only refused copies are recorded. A
     * copy of an idempotent request is recorded only when it ends, so that another copy may still
     * be in progress until the maximum duration of a request has passed.
     */
    private static ReasonedVerdict ofRefusedCopies(RequestRecords records, InquiryOptions options) {
        JournalSearchResult searchResult = records.searchResult();
        long lastArrival =
                records.entries(entry -> true).stream()
                        .mapToLong(JournalEntry::arrivedMilliseconds)
                        .max()
                        .orElseThrow();
        long endedIfArrivedBefore =
                searchResult.completeUntilMilliseconds()
                        - options.maximumRequestMilliseconds()
                        - options.clockMarginMilliseconds();
        if (!searchResult.gaps().isEmpty()) {
            return of(
                    Verdict.NO_RECORD,
                    "only refused copies are recorded, and gaps could hide another copy");
        }
        return lastArrival < endedIfArrivedBefore
                ? of(
                        Verdict.DID_NOT_RUN,
                        "all copies that arrived in the searched time have ended and were refused")
                : of(
                        Verdict.NO_RECORD,
                        "only refused copies are recorded, and another may still be in progress");
    }

    private static ReasonedVerdict ofNoRecords() {
        return of(
                Verdict.NO_RECORD,
                "no copy of it ended in the searched time, and it has no claim: if its kind is"
                        + " non-idempotent it has not run");
    }
}
