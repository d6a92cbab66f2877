package org.siskinramp.result;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/** Helps with futures whose end is acted upon. */
public final class Futures {

    private Futures() {}

    /**
     * Acts when a future ends. The action must not throw.
     *
     * @param future the future
     * @param action receives the value or the failure; the other is null
     * @param <T> the type of the value
     */
    @SuppressWarnings("FutureReturnValueIgnored")
    public static <T> void whenDone(
            CompletableFuture<T> future, BiConsumer<? super T, ? super Throwable> action) {
        future.whenComplete(action);
    }

    /**
     * Finds the failure that a future reports around.
     *
     * @param failure the failure as a future reports it
     * @return the failure beneath all completion failures
     */
    public static Throwable causeOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    /**
     * Ends a future as another one ends.
     *
     * @param source the future that ends first
     * @param target the future that ends with it
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
