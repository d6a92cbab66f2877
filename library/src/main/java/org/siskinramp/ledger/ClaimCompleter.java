package org.siskinramp.ledger;

import org.siskinramp.ledger.ClaimTable.Entry;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Completes the futures of claims. If the write of a refused claim may have taken effect, or may
 * still do so, it arranges for the row to be released, so that the write cannot block the request.
 */
final class ClaimCompleter {

    private final LedgerEnvironment environment;
    private final ClaimTable table;
    private final SettlementWriter settlementWriter;
    private final AnswerStore answerStore;

    ClaimCompleter(
            LedgerEnvironment environment,
            ClaimTable table,
            SettlementWriter settlementWriter,
            AnswerStore answerStore) {
        this.environment = environment;
        this.table = table;
        this.settlementWriter = settlementWriter;
        this.answerStore = answerStore;
    }

    /** Grants a claim whose row was written with this version, unless it was refused before. */
    void grant(Entry entry, long version) {
        ClaimRow row = table.row(entry);
        if (!table.grant(entry, version)) {
            return;
        }
        environment.counters().add(Counter.CLAIMS);
        log(entry, "granted");
        Claim claim = new Claim(entry.request().key(), row.token(), row.contentHash());
        entry.result().complete(new ClaimResult.Granted(claim));
    }

    /** Refuses a claim, and fences it if its row may have been written, or may still be. */
    void refuse(Entry entry, ResultException refusal) {
        ClaimTable.RefusalResult refusalResult =
                table.refuse(entry, environment.clock().calendarMilliseconds());
        if (refusalResult == ClaimTable.RefusalResult.TOO_LATE) {
            return;
        }
        if (refusalResult == ClaimTable.RefusalResult.TO_FENCE) {
            settlementWriter.add(
                    Settlement.ofPossiblyWritten(entry, table.row(entry), table.version(entry)));
        }
        log(entry, refusal.code().name());
        entry.result().completeExceptionally(refusal);
    }

    /**
     * Completes a claim whose row holds another claim of the request that is not released: replays
     * the stored answer if that claim is finished, and refuses this one otherwise.
     */
    void completeFromConflictingRow(Entry entry, ClaimRow found) {
        if (!found.contentHash().equals(entry.request().contentHash())) {
            refuse(entry, ClaimRefusals.requestIdReused("claim=" + found.token()));
            return;
        }
        if (found.state() != ClaimState.FINISHED) {
            long clockMargin = environment.options().clockMarginMilliseconds();
            refuse(entry, ClaimRefusals.ofUnfinishedRow(found, environment.clock(), clockMargin));
            return;
        }
        if (table.refuse(entry, environment.clock().calendarMilliseconds())
                != ClaimTable.RefusalResult.DROPPED) {
            return;
        }
        log(entry, ResultCode.REPLAYED.name());
        Futures.forward(
                answerStore.load(found).<ClaimResult>thenApply(ClaimResult.Replayed::new),
                entry.result());
    }

    /**
     * Refuses a claim whose row is malformed, since the request may have run under the claim that
     * the row held.
     */
    void refuseMalformed(Entry entry) {
        environment.counters().add(Counter.INVARIANT_VIOLATIONS);
        refuse(
                entry,
                new ResultException(
                        ResultCode.OUTCOME_UNKNOWN,
                        "the claim row is malformed; request=" + entry.request().key()));
    }

    private void log(Entry entry, String result) {
        environment
                .eventLog()
                .record(
                        LogEvent.named("claim")
                                .with("request", entry.request().key())
                                .with("claim", table.row(entry).token())
                                .with("result", result));
    }
}
