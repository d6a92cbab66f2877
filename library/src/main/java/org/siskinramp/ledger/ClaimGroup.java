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
 * Commits a group of claims. If the transaction fails or its answer is lost, it reads the rows
 * back, settles what they decide and commits the rest again.
 */
final class ClaimGroup {

    private static final long RETRY_MILLISECONDS = 20;

    private final LedgerParts parts;
    private final ClaimTable table;
    private final ClaimDecisions decisions;
    private List<Entry> members;

    ClaimGroup(LedgerParts parts, ClaimTable table, ClaimDecisions decisions, List<Entry> members) {
        this.parts = parts;
        this.table = table;
        this.decisions = decisions;
        this.members = List.copyOf(members);
    }

    void commit() {
        members = table.startSending(members);
        if (members.isEmpty()) {
            return;
        }
        Futures.whenDone(
                parts.platform().commit(members.stream().map(this::write).toList()),
                (nothing, failure) -> committed(failure));
    }

    private Write write(Entry entry) {
        String content = ClaimRowCodec.write(table.row(entry));
        return new Write(entry.rowKey(), Optional.of(content), table.version(entry));
    }

    private void committed(Throwable failure) {
        if (failure == null) {
            parts.circuit().succeeded();
            members.forEach(entry -> decisions.grant(entry, table.version(entry) + 1));
            return;
        }
        ResultCode code = ResultException.from(failure).code();
        if (code == ResultCode.CONDITION_FAILED) {
            parts.circuit().succeeded();
            table.sentWithoutEffect(members);
            readBack();
        } else if (code == ResultCode.PLATFORM_UNAVAILABLE) {
            table.sentWithoutEffect(members);
            retryUnlessDown(this::commitLater);
        } else {
            table.sentInDoubt(members);
            retryUnlessDown(this::readBack);
        }
    }

    private void retryUnlessDown(Runnable next) {
        parts.circuit().failed();
        if (parts.circuit().isOpen()) {
            members.forEach(
                    entry ->
                            decisions.refuse(
                                    entry,
                                    ClaimRefusals.unconfirmed(
                                            "the platform fails",
                                            parts.circuit().retryAfterMilliseconds())));
            return;
        }
        parts.scheduler().schedule(RETRY_MILLISECONDS, next);
    }

    private void commitLater() {
        parts.scheduler().schedule(parts.budget().book(), this::commit);
    }

    private void readBack() {
        Futures.whenDone(
                parts.platform().read(members.stream().map(Entry::rowKey).toList()),
                (rows, failure) -> {
                    if (failure == null) {
                        parts.circuit().succeeded();
                        resolve(rows);
                    } else {
                        retryUnlessDown(this::readBack);
                    }
                });
    }

    private void resolve(List<Row> rows) {
        Map<RowKey, Row> byKey =
                rows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
        List<Entry> open = new ArrayList<>();
        for (Entry entry : members) {
            Row row = byKey.get(entry.rowKey());
            if (row == null || isFree(entry, row)) {
                open.add(entry);
            }
        }
        members = open;
        commitLater();
    }

    private boolean isFree(Entry entry, Row row) {
        ClaimRow found;
        try {
            found = ClaimRowCodec.read(row.value());
        } catch (ResultException malformed) {
            table.expect(entry, row.version());
            decisions.refuseMalformed(entry);
            return false;
        }
        if (found.token().equals(table.row(entry).token())) {
            decisions.grant(entry, row.version());
            return false;
        }
        table.expect(entry, row.version());
        if (found.state() == ClaimState.RELEASED) {
            return true;
        }
        decisions.taken(entry, found);
        return false;
    }
}
