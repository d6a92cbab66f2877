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
 * Commits one change of the configuration. Plans and commits it again with a new snapshot after a
 * conflicting transaction of another host or a lost answer of the platform. Once an answer was
 * lost, it also retries while the platform is unavailable, to find out whether the change was
 * committed.
 *
 * <p>Every transaction of a change is conditional on the version row (optimistic locking). A
 * transaction whose answer was lost may still arrive at the platform, but not take effect once a
 * snapshot shows a later version than the one it is conditional on. Therefore such a snapshot shows
 * reliably whether the change was committed.
 *
 * @param <T> the type of the receipt
 */
final class ChangeExecution<T> {

    private static final int MAXIMUM_ATTEMPTS = 8;
    private static final long INITIAL_BACKOFF_MILLISECONDS = 20;

    private final ConfigurationStore store;
    private final Platform platform;
    private final Scheduler scheduler;
    private final LongUnaryOperator jitter;
    private final long ticketNumber;
    private final ConfigurationChange<T> change;
    private final Consumer<List<Write>> commitListener;
    private final CompletableFuture<T> result = new CompletableFuture<>();
    private int attempts;
    private boolean mayHaveCommitted;

    ChangeExecution(
            ConfigurationStore store,
            Platform platform,
            Scheduler scheduler,
            LongUnaryOperator jitter,
            long ticketNumber,
            ConfigurationChange<T> change,
            Consumer<List<Write>> commitListener) {
        this.store = store;
        this.platform = platform;
        this.scheduler = scheduler;
        this.jitter = jitter;
        this.ticketNumber = ticketNumber;
        this.change = change;
        this.commitListener = commitListener;
    }

    CompletableFuture<T> start() {
        attempt();
        return result;
    }

    private void attempt() {
        attempts++;
        Futures.whenDone(
                store.load(ticketNumber)
                        .thenApply(snapshot -> change.plan(snapshot, mayHaveCommitted))
                        .thenCompose(this::commitPlan),
                (receipt, failure) -> {
                    if (failure == null) {
                        result.complete(receipt);
                    } else {
                        onFailure(ResultException.from(failure));
                    }
                });
    }

    private CompletableFuture<T> commitPlan(ConfigurationChange.Plan<T> plan) {
        if (plan.writes().isEmpty()) {
            return CompletableFuture.completedFuture(plan.receipt());
        }
        List<Write> writes = plan.writes().get();
        return platform.commit(writes)
                .thenApply(
                        nothing -> {
                            commitListener.accept(writes);
                            return plan.receipt();
                        });
    }

    private void onFailure(ResultException failure) {
        if (failure.code() == ResultCode.PLATFORM_ANSWER_LOST) {
            mayHaveCommitted = true;
        }
        boolean isRetryable =
                failure.code() == ResultCode.CONDITION_FAILED
                        || failure.code() == ResultCode.PLATFORM_ANSWER_LOST
                        || (mayHaveCommitted && failure.code() == ResultCode.PLATFORM_UNAVAILABLE);
        if (!isRetryable) {
            result.completeExceptionally(failure);
        } else if (attempts < MAXIMUM_ATTEMPTS) {
            long delay = INITIAL_BACKOFF_MILLISECONDS << (attempts - 1);
            scheduler.schedule(jitter.applyAsLong(delay), this::attempt);
        } else if (mayHaveCommitted) {
            result.completeExceptionally(
                    new ResultException(ResultCode.TICKET_UNCONFIRMED, failure.getMessage()));
        } else {
            result.completeExceptionally(failure);
        }
    }
}
