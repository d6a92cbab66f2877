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
 * Writes settlements (outcomes, releases and fences) in groups, one group at a time, and retries
 * until each is durable. The limit of the claim table bounds the number of waiting settlements. A
 * settlement whose row violates an invariant is logged and completed without a write.
 */
final class SettlementWriter {

    private static final long INITIAL_RETRY_DELAY_MILLISECONDS = 50;
    private static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 2_000;

    private final LedgerEnvironment environment;
    private final ClaimTable table;
    private final AnswerStore answerStore;
    private final Deque<Settlement> waiting = new ArrayDeque<>();
    private boolean active;
    private long retryDelayMilliseconds = INITIAL_RETRY_DELAY_MILLISECONDS;

    SettlementWriter(LedgerEnvironment environment, ClaimTable table, AnswerStore answerStore) {
        this.environment = environment;
        this.table = table;
        this.answerStore = answerStore;
    }

    void add(Settlement settlement) {
        if (enqueue(settlement)) {
            scheduleNextGroup(environment.options().settlementDelayMilliseconds());
        }
    }

    private synchronized boolean enqueue(Settlement settlement) {
        waiting.add(settlement);
        boolean needsStart = !active;
        active = true;
        return needsStart;
    }

    private void scheduleNextGroup(long delayMilliseconds) {
        environment
                .scheduler()
                .schedule(
                        delayMilliseconds + environment.transactionRateLimiter().reserve(),
                        this::writeNextGroup);
    }

    private void writeNextGroup() {
        List<Settlement> group = takeGroup();
        if (group.isEmpty()) {
            return;
        }
        CompletableFuture<?>[] stored =
                group.stream()
                        .map(settlement -> settlement.storeAnswer(answerStore))
                        .toArray(CompletableFuture<?>[]::new);
        Futures.whenDone(
                CompletableFuture.allOf(stored)
                        .thenCompose(ignored -> readUnknownVersions(group))
                        .thenCompose(this::commit),
                (ignored, failure) -> handleGroupResult(group, failure));
    }

    private synchronized List<Settlement> takeGroup() {
        List<Settlement> group = new ArrayList<>();
        while (!waiting.isEmpty() && group.size() < environment.options().maximumGroupSize()) {
            group.add(waiting.remove());
        }
        active = !group.isEmpty();
        return group;
    }

    private CompletableFuture<List<Settlement>> readUnknownVersions(List<Settlement> group) {
        List<RowKey> keys =
                group.stream()
                        .filter(Settlement::isVersionUnknown)
                        .map(Settlement::rowKey)
                        .toList();
        if (keys.isEmpty()) {
            return CompletableFuture.completedFuture(group);
        }
        return environment.platform().read(keys).thenApply(rows -> reconcile(group, rows));
    }

    private List<Settlement> reconcile(List<Settlement> group, List<Row> rows) {
        Map<RowKey, Row> byKey =
                rows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
        List<Settlement> toWrite = new ArrayList<>();
        for (Settlement settlement : group) {
            if (!settlement.isVersionUnknown()
                    || needsWrite(
                            settlement, Optional.ofNullable(byKey.get(settlement.rowKey())))) {
                toWrite.add(settlement);
            }
        }
        return toWrite;
    }

    private boolean needsWrite(Settlement settlement, Optional<Row> row) {
        Settlement.Reconciliation reconciliation = settlement.reconcile(row);
        if (reconciliation == Settlement.Reconciliation.TO_WRITE) {
            return true;
        }
        if (reconciliation == Settlement.Reconciliation.VIOLATED) {
            environment.counters().add(Counter.INVARIANT_VIOLATIONS);
            log("claim_row_violated", settlement);
        }
        markSettled(settlement);
        return false;
    }

    private CompletableFuture<Void> commit(List<Settlement> group) {
        if (group.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return environment
                .platform()
                .commit(group.stream().map(Settlement::write).toList())
                .thenRun(() -> group.forEach(this::markSettled));
    }

    private void markSettled(Settlement settlement) {
        table.remove(settlement.entry());
        log("claim_settled", settlement);
        settlement.done().complete(null);
    }

    private void handleGroupResult(List<Settlement> group, Throwable failure) {
        if (failure == null) {
            environment.circuitBreaker().recordSuccess();
            if (recordSuccessAndCheckForMore()) {
                scheduleNextGroup(environment.options().settlementDelayMilliseconds());
            }
            return;
        }
        ResultCode code = ResultException.from(failure).code();
        if (code == ResultCode.CONDITION_FAILED) {
            environment.circuitBreaker().recordSuccess();
        } else {
            environment.circuitBreaker().recordFailure();
        }
        requeue(group, code);
        scheduleNextGroup(nextRetryDelay());
    }

    private synchronized void requeue(List<Settlement> group, ResultCode code) {
        for (int index = group.size() - 1; index >= 0; index--) {
            Settlement settlement = group.get(index);
            if (settlement.done().isDone()) {
                continue;
            }
            if (code != ResultCode.PLATFORM_UNAVAILABLE) {
                settlement.markVersionUnknown();
            }
            waiting.addFirst(settlement);
        }
    }

    private synchronized boolean recordSuccessAndCheckForMore() {
        retryDelayMilliseconds = INITIAL_RETRY_DELAY_MILLISECONDS;
        active = !waiting.isEmpty();
        return active;
    }

    private synchronized long nextRetryDelay() {
        long delay = retryDelayMilliseconds;
        retryDelayMilliseconds =
                Math.min(2 * retryDelayMilliseconds, MAXIMUM_RETRY_DELAY_MILLISECONDS);
        return delay;
    }

    private void log(String event, Settlement settlement) {
        environment
                .eventLog()
                .record(
                        LogEvent.named(event)
                                .with("request", settlement.entry().request().key())
                                .with("state", settlement.target().state().label())
                                .with("claim", settlement.target().token()));
    }
}
