package org.siskinramp.ledger;

import org.siskinramp.ledger.ClaimTable.Entry;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Answers claims and leaves nothing behind that could grant a refused one later. */
final class ClaimDecisions {

    private final LedgerParts parts;
    private final ClaimTable table;
    private final Settlements settlements;
    private final AnswerStore answers;

    ClaimDecisions(
            LedgerParts parts, ClaimTable table, Settlements settlements, AnswerStore answers) {
        this.parts = parts;
        this.table = table;
        this.settlements = settlements;
        this.answers = answers;
    }

    void grant(Entry entry, long version) {
        ClaimRow row = table.row(entry);
        if (!table.grant(entry, version)) {
            return;
        }
        parts.counters().add(Counter.CLAIMS);
        log(entry, "granted");
        Claim claim = new Claim(entry.request().key(), row.token(), row.contentHash());
        entry.result().complete(new ClaimResult.Granted(claim));
    }

    void refuse(Entry entry, ResultException refusal) {
        ClaimTable.Refusal left = table.refuse(entry, parts.clock().calendarMilliseconds());
        if (left == ClaimTable.Refusal.TOO_LATE) {
            return;
        }
        if (left == ClaimTable.Refusal.TO_FENCE) {
            settlements.add(Settlement.ofDoubtful(entry, table.row(entry), table.version(entry)));
        }
        log(entry, refusal.code().name());
        entry.result().completeExceptionally(refusal);
    }

    /** Decides a claim whose key another attempt holds. */
    void taken(Entry entry, ClaimRow found) {
        if (!found.contentHash().equals(entry.request().contentHash())) {
            refuse(entry, ClaimRefusals.reused("claim=" + found.token()));
            return;
        }
        if (found.state() != ClaimState.FINISHED) {
            long margin = parts.options().clockMarginMilliseconds();
            refuse(entry, ClaimRefusals.ofOpenRow(found, parts.clock(), margin));
            return;
        }
        if (table.refuse(entry, parts.clock().calendarMilliseconds())
                != ClaimTable.Refusal.DROPPED) {
            return;
        }
        log(entry, ResultCode.REPLAYED.name());
        Futures.forward(
                answers.load(found).<ClaimResult>thenApply(ClaimResult.Kept::new), entry.result());
    }

    /** Refuses a claim whose row cannot be read, since what the row stands for may have run. */
    void refuseMalformed(Entry entry) {
        parts.counters().add(Counter.INVARIANT_VIOLATIONS);
        refuse(
                entry,
                new ResultException(
                        ResultCode.OUTCOME_UNKNOWN,
                        "the claim row is malformed; request=" + entry.request().key()));
    }

    private void log(Entry entry, String result) {
        parts.eventLog()
                .record(
                        LogEvent.named("claim")
                                .with("request", entry.request().key())
                                .with("claim", table.row(entry).token())
                                .with("result", result));
    }
}
