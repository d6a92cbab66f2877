package org.siskinramp.journal;

import org.siskinramp.ledger.ClaimState;

/**
 * Says what became of a request and why.
 *
 * @param verdict what became of it
 * @param tries for an idempotent request how often it may have run
 * @param reason why, in one sentence
 */
record Conclusion(Verdict verdict, int tries, String reason) {

    private static Conclusion of(Verdict verdict, String reason) {
        return new Conclusion(verdict, 0, reason);
    }

    /**
     * Concludes from the evidence what is certainly true, however hosts, copies and claims followed
     * one another.
     *
     * @param evidence all that is known
     * @param options the time that a request may take, and the margin of clocks
     * @return the conclusion
     */
    static Conclusion of(Evidence evidence, InquiryOptions options) {
        boolean idempotentTries =
                evidence.has(entry -> entry.idempotent() && (entry.ran() || entry.tries() > 0));
        if (idempotentTries) {
            return ofIdempotentTries(evidence);
        }
        if (evidence.isClaimed() || evidence.has(entry -> !entry.idempotent())) {
            return ofClaim(evidence, options);
        }
        return evidence.has(entry -> true) ? ofRefusedCopies(evidence, options) : ofNothing();
    }

    private static Conclusion ofIdempotentTries(Evidence evidence) {
        int tries = evidence.entries(entry -> true).stream().mapToInt(JournalEntry::tries).sum();
        return evidence.has(JournalEntry::ran)
                ? new Conclusion(
                        Verdict.RAN_IDEMPOTENT,
                        tries,
                        "a backend server answered; more tries may be unrecorded")
                : new Conclusion(
                        Verdict.MAY_HAVE_RUN_IDEMPOTENT,
                        tries,
                        "it was sent, and no answer is recorded; more tries may be unrecorded");
    }

    /** A request that needs a claim runs only under one, and a claim never gives way to another. */
    private static Conclusion ofClaim(Evidence evidence, InquiryOptions options) {
        if (hasState(evidence, ClaimState.FINISHED)) {
            return of(Verdict.RAN_ONCE, "its claim holds the outcome");
        }
        if (evidence.has(JournalEntry::ran)) {
            return of(Verdict.RAN_ONCE, "a host recorded the answer; its claim does not hold it");
        }
        if (evidence.has(entry -> entry.tries() > 0)) {
            return of(
                    Verdict.MAY_HAVE_RUN_AT_MOST_ONCE,
                    "it was sent once, and no answer is recorded");
        }
        if (evidence.claimMalformed()) {
            return of(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, "its claim cannot be read");
        }
        if (hasState(evidence, ClaimState.UNKNOWN)) {
            return of(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, "its claim says so");
        }
        if (hasState(evidence, ClaimState.CLAIMED)) {
            return ofOpenClaim(evidence, options);
        }
        return of(
                Verdict.DID_NOT_RUN,
                evidence.claim().isPresent()
                        ? "every claim of it was released before it was sent"
                        : "copies were refused, and no claim of it was ever committed");
    }

    private static Conclusion ofOpenClaim(Evidence evidence, InquiryOptions options) {
        if (evidence.claimHolderDidNotRun()) {
            return of(
                    Verdict.DID_NOT_RUN,
                    "the holder of its claim ended before it was sent; the release is on its way");
        }
        long deadline = evidence.claim().orElseThrow().deadlineMilliseconds();
        return evidence.nowMilliseconds() <= deadline + options.clockMarginMilliseconds()
                ? of(Verdict.IN_PROGRESS, "its claim is open and its deadline has not passed")
                : of(
                        Verdict.MAY_HAVE_RUN_AT_MOST_ONCE,
                        "its claim is open past the deadline, and its host recorded no end");
    }

    private static boolean hasState(Evidence evidence, ClaimState state) {
        return evidence.claim().filter(row -> row.state() == state).isPresent();
    }

    /** Another copy of an idempotent request leaves no trace before it ends. */
    private static Conclusion ofRefusedCopies(Evidence evidence, InquiryOptions options) {
        JournalFindings findings = evidence.findings();
        long lastArrival =
                evidence.entries(entry -> true).stream()
                        .mapToLong(JournalEntry::arrivedMilliseconds)
                        .max()
                        .orElseThrow();
        long surelyEnded =
                findings.completeUntilMilliseconds()
                        - options.longestRequestMilliseconds()
                        - options.clockMarginMilliseconds();
        if (!findings.gaps().isEmpty()) {
            return of(
                    Verdict.NO_RECORD,
                    "only refused copies are recorded, and gaps could hide another copy");
        }
        return lastArrival < surelyEnded
                ? of(
                        Verdict.DID_NOT_RUN,
                        "all copies that arrived in the searched time have ended and were refused")
                : of(
                        Verdict.NO_RECORD,
                        "only refused copies are recorded, and another may still be in progress");
    }

    private static Conclusion ofNothing() {
        return of(
                Verdict.NO_RECORD,
                "no copy of it ended in the searched time, and it has no claim: if its kind is"
                        + " non-idempotent it has not run");
    }
}
