package org.siskinramp.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.siskinramp.ledger.ClaimTable.Entry;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Commits a group of claims in one transaction. If a condition fails or the answer is lost, it
 * reads the rows, completes the claims that they decide, and commits the other claims again. If the
 * platform was unavailable, so that the transaction certainly had no effect, it is repeated without
 * a read.
 */
final class ClaimGroup {

    private static final long RETRY_DELAY_MILLISECONDS = 20;

    private final LedgerEnvironment environment;
    private final ClaimTable table;
    private final ClaimCompleter completer;
    private List<Entry> entries;

    ClaimGroup(
            LedgerEnvironment environment,
            ClaimTable table,
            ClaimCompleter completer,
            List<Entry> entries) {
        this.environment = environment;
        this.table = table;
        this.completer = completer;
        this.entries = List.copyOf(entries);
    }

    void commit() {
        entries = table.startWriting(entries);
        if (entries.isEmpty()) {
            return;
        }
        Futures.whenDone(
                environment.platform().commit(entries.stream().map(this::write).toList()),
                (ignored, failure) -> handleCommitResult(failure));
    }

    private Write write(Entry entry) {
        String content = ClaimRowCodec.write(table.row(entry));
        return new Write(entry.rowKey(), Optional.of(content), table.version(entry));
    }

    private void handleCommitResult(Throwable failure) {
        if (failure == null) {
            environment.circuitBreaker().recordSuccess();
            entries.forEach(entry -> completer.grant(entry, table.version(entry) + 1));
            return;
        }
        ResultCode code = ResultException.from(failure).code();
        if (code == ResultCode.CONDITION_FAILED) {
            environment.circuitBreaker().recordSuccess();
            table.markNotWritten(entries);
            readRows();
        } else if (code == ResultCode.PLATFORM_UNAVAILABLE) {
            table.markNotWritten(entries);
            retryUnlessCircuitBreakerOpen(this::scheduleCommit);
        } else {
            table.markPossiblyWritten(entries);
            retryUnlessCircuitBreakerOpen(this::readRows);
        }
    }

    /**
     * Records a failed call to the platform. Retries after a short delay, or refuses the claims of
     * this group if the circuit breaker is open.
     */
    private void retryUnlessCircuitBreakerOpen(Runnable retry) {
        environment.circuitBreaker().recordFailure();
        if (environment.circuitBreaker().isOpen()) {
            entries.forEach(
                    entry ->
                            completer.refuse(
                                    entry,
                                    ClaimRefusals.unconfirmed(
                                            "the platform fails",
                                            environment
                                                    .circuitBreaker()
                                                    .retryAfterMilliseconds())));
            return;
        }
        environment.scheduler().schedule(RETRY_DELAY_MILLISECONDS, retry);
    }

    private void scheduleCommit() {
        environment
                .scheduler()
                .schedule(environment.transactionRateLimiter().reserve(), this::commit);
    }

    private void readRows() {
        Futures.whenDone(
                environment.platform().read(entries.stream().map(Entry::rowKey).toList()),
                (rows, failure) -> {
                    if (failure == null) {
                        environment.circuitBreaker().recordSuccess();
                        completeFromRows(rows);
                    } else {
                        retryUnlessCircuitBreakerOpen(this::readRows);
                    }
                });
    }

    private void completeFromRows(List<Row> rows) {
        Map<RowKey, Row> byKey =
                rows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
        List<Entry> undecided = new ArrayList<>();
        for (Entry entry : entries) {
            Row row = byKey.get(entry.rowKey());
            if (row == null || remainsUndecided(entry, row)) {
                undecided.add(entry);
            }
        }
        entries = undecided;
        scheduleCommit();
    }

    /**
     * Completes a claim if the row that was found decides it.
     *
     * @return true if the row is released, so that the claim must be committed again
     */
    private boolean remainsUndecided(Entry entry, Row row) {
        ClaimRow found;
        try {
            found = ClaimRowCodec.read(row.value());
        } catch (ResultException malformed) {
            table.recordRowVersion(entry, row.version());
            completer.refuseMalformed(entry);
            return false;
        }
        if (found.token().equals(table.row(entry).token())) {
            completer.grant(entry, row.version());
            return false;
        }
        table.recordRowVersion(entry, row.version());
        if (found.state() == ClaimState.RELEASED) {
            return true;
        }
        completer.completeFromConflictingRow(entry, found);
        return false;
    }
}
