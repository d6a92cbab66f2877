package org.siskinramp.ticket;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Write;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Scheduler;

/**
 * Carries one change through conflicts and lost answers.
 *
 * <p>Every transaction of a change depends on the version row. A transaction that is still on its
 * way when a snapshot shows a later version can no longer take effect, so what a plan concludes
 * from such a snapshot is final.
 */
final class ChangeRun<T> {

    private static final int MOST_ATTEMPTS = 8;
    private static final long FIRST_RETRY_MILLISECONDS = 20;

    private final ConfigurationStore store;
    private final Platform platform;
    private final Scheduler scheduler;
    private final LongUnaryOperator jitter;
    private final long ticketNumber;
    private final Change<T> change;
    private final Consumer<List<Write>> committed;
    private final CompletableFuture<T> result = new CompletableFuture<>();
    private int attempts;
    private boolean doubtful;

    ChangeRun(
            ConfigurationStore store,
            Platform platform,
            Scheduler scheduler,
            LongUnaryOperator jitter,
            long ticketNumber,
            Change<T> change,
            Consumer<List<Write>> committed) {
        this.store = store;
        this.platform = platform;
        this.scheduler = scheduler;
        this.jitter = jitter;
        this.ticketNumber = ticketNumber;
        this.change = change;
        this.committed = committed;
    }

    CompletableFuture<T> start() {
        attempt();
        return result;
    }

    private void attempt() {
        attempts++;
        Futures.whenDone(
                store.load(ticketNumber)
                        .thenApply(snapshot -> change.plan(snapshot, doubtful))
                        .thenCompose(this::write),
                (receipt, failure) -> {
                    if (failure == null) {
                        result.complete(receipt);
                    } else {
                        failed(ResultException.from(failure));
                    }
                });
    }

    private CompletableFuture<T> write(Change.Plan<T> plan) {
        if (plan.writes().isEmpty()) {
            return CompletableFuture.completedFuture(plan.receipt());
        }
        List<Write> writes = plan.writes().get();
        return platform.commit(writes)
                .thenApply(
                        nothing -> {
                            committed.accept(writes);
                            return plan.receipt();
                        });
    }

    private void failed(ResultException failure) {
        if (failure.code() == ResultCode.PLATFORM_ANSWER_LOST) {
            doubtful = true;
        }
        boolean passing =
                failure.code() == ResultCode.CONDITION_FAILED
                        || failure.code() == ResultCode.PLATFORM_ANSWER_LOST
                        || (doubtful && failure.code() == ResultCode.PLATFORM_UNAVAILABLE);
        if (!passing) {
            result.completeExceptionally(failure);
        } else if (attempts < MOST_ATTEMPTS) {
            long delay = FIRST_RETRY_MILLISECONDS << (attempts - 1);
            scheduler.schedule(jitter.applyAsLong(delay), this::attempt);
        } else if (doubtful) {
            result.completeExceptionally(
                    new ResultException(ResultCode.TICKET_UNCONFIRMED, failure.getMessage()));
        } else {
            result.completeExceptionally(failure);
        }
    }
}
