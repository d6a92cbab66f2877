package org.siskinramp.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Writes outcomes and releases in groups, one group at a time, and tries again until each is
 * durable. The claim table bounds how many there can be.
 */
final class Settlements {

    private static final long FIRST_RETRY_MILLISECONDS = 50;
    private static final long LONGEST_RETRY_MILLISECONDS = 2_000;

    private final LedgerParts parts;
    private final ClaimTable table;
    private final AnswerStore answers;
    private final Deque<Settlement> waiting = new ArrayDeque<>();
    private boolean running;
    private long retryMilliseconds = FIRST_RETRY_MILLISECONDS;

    Settlements(LedgerParts parts, ClaimTable table, AnswerStore answers) {
        this.parts = parts;
        this.table = table;
        this.answers = answers;
    }

    void add(Settlement settlement) {
        if (enqueue(settlement)) {
            startLater(parts.options().outcomeDelayMilliseconds());
        }
    }

    private synchronized boolean enqueue(Settlement settlement) {
        waiting.add(settlement);
        boolean first = !running;
        running = true;
        return first;
    }

    private void startLater(long delayMilliseconds) {
        parts.scheduler().schedule(delayMilliseconds + parts.budget().book(), this::start);
    }

    private void start() {
        List<Settlement> group = takeGroup();
        if (group.isEmpty()) {
            return;
        }
        CompletableFuture<?>[] stored =
                group.stream()
                        .map(settlement -> settlement.storeAnswer(answers))
                        .toArray(CompletableFuture<?>[]::new);
        Futures.whenDone(
                CompletableFuture.allOf(stored)
                        .thenCompose(nothing -> readUnread(group))
                        .thenCompose(this::commit),
                (nothing, failure) -> finished(group, failure));
    }

    private synchronized List<Settlement> takeGroup() {
        List<Settlement> group = new ArrayList<>();
        while (!waiting.isEmpty() && group.size() < parts.options().groupSize()) {
            group.add(waiting.remove());
        }
        running = !group.isEmpty();
        return group;
    }

    private CompletableFuture<List<Settlement>> readUnread(List<Settlement> group) {
        List<RowKey> keys =
                group.stream().filter(Settlement::isUnread).map(Settlement::rowKey).toList();
        if (keys.isEmpty()) {
            return CompletableFuture.completedFuture(group);
        }
        return parts.platform().read(keys).thenApply(rows -> reconcile(group, rows));
    }

    private List<Settlement> reconcile(List<Settlement> group, List<Row> rows) {
        Map<RowKey, Row> byKey =
                rows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
        List<Settlement> toWrite = new ArrayList<>();
        for (Settlement settlement : group) {
            if (!settlement.isUnread()
                    || isToWrite(settlement, Optional.ofNullable(byKey.get(settlement.rowKey())))) {
                toWrite.add(settlement);
            }
        }
        return toWrite;
    }

    private boolean isToWrite(Settlement settlement, Optional<Row> row) {
        Settlement.Reading reading = settlement.reconcile(row);
        if (reading == Settlement.Reading.TO_WRITE) {
            return true;
        }
        if (reading == Settlement.Reading.VIOLATED) {
            parts.counters().add(Counter.INVARIANT_VIOLATIONS);
            log("claim_row_violated", settlement);
        }
        settled(settlement);
        return false;
    }

    private CompletableFuture<Void> commit(List<Settlement> group) {
        if (group.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return parts.platform()
                .commit(group.stream().map(Settlement::write).toList())
                .thenRun(() -> group.forEach(this::settled));
    }

    private void settled(Settlement settlement) {
        table.remove(settlement.entry());
        log("claim_settled", settlement);
        settlement.done().complete(null);
    }

    private void finished(List<Settlement> group, Throwable failure) {
        if (failure == null) {
            parts.circuit().succeeded();
            if (continueRunning()) {
                startLater(parts.options().outcomeDelayMilliseconds());
            }
            return;
        }
        ResultCode code = ResultException.from(failure).code();
        if (code == ResultCode.CONDITION_FAILED) {
            parts.circuit().succeeded();
        } else {
            parts.circuit().failed();
        }
        requeue(group, code);
        startLater(nextRetry());
    }

    private synchronized void requeue(List<Settlement> group, ResultCode code) {
        for (int index = group.size() - 1; index >= 0; index--) {
            Settlement settlement = group.get(index);
            if (settlement.done().isDone()) {
                continue;
            }
            if (code != ResultCode.PLATFORM_UNAVAILABLE) {
                settlement.forgetVersion();
            }
            waiting.addFirst(settlement);
        }
    }

    private synchronized boolean continueRunning() {
        retryMilliseconds = FIRST_RETRY_MILLISECONDS;
        running = !waiting.isEmpty();
        return running;
    }

    private synchronized long nextRetry() {
        long delay = retryMilliseconds;
        retryMilliseconds = Math.min(2 * retryMilliseconds, LONGEST_RETRY_MILLISECONDS);
        return delay;
    }

    private void log(String event, Settlement settlement) {
        parts.eventLog()
                .record(
                        LogEvent.named(event)
                                .with("request", settlement.entry().request().key())
                                .with("state", settlement.target().state().word())
                                .with("claim", settlement.target().token()));
    }
}
