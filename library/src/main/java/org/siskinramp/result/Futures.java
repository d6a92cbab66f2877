package org.siskinramp.result;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Helper methods for futures. */
public final class Futures {

    private Futures() {}

    /**
     * Runs an action when a future completes. The action must not throw.
     *
     * @param future the future
     * @param action receives the value or the failure; the other one is null
     * @param <T> the type of the value
     */
    @SuppressWarnings("FutureReturnValueIgnored")
    public static <T> void whenDone(
            CompletableFuture<T> future, BiConsumer<? super T, ? super Throwable> action) {
        future.whenComplete(action);
    }

    /**
     * Calls a method that returns a future, and turns an exception that it throws instead into a
     * failed future, so that whoever waits for the future is notified in any case.
     *
     * @param call the call
     * @param <T> the type of the value
     * @return the future of the call, or one that failed with the exception
     */
    public static <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException | Error failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    /**
     * Unwraps the cause of a failure that a future reports.
     *
     * @param failure the failure as a future reports it
     * @return the first cause that is no {@link CompletionException}
     */
    public static Throwable causeOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    /**
     * Completes a future with the value of another one, or with its failure as a {@link
     * ResultException}.
     *
     * @param source the future that provides the outcome
     * @param target the future to complete
     * @param <T> the type of the value
     */
    public static <T> void forward(CompletableFuture<T> source, CompletableFuture<T> target) {
        whenDone(
                source,
                (value, failure) -> {
                    if (failure == null) {
                        target.complete(value);
                    } else {
                        target.completeExceptionally(ResultException.from(failure));
                    }
                });
    }
}
