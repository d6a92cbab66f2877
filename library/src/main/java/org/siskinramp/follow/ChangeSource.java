package org.siskinramp.follow;

import java.util.concurrent.CompletableFuture;

/**
 * Reads a table and its changes. Futures fail with a {@link org.siskinramp.result.ResultException},
 * whose code is {@code HISTORY_GONE} if the store has dropped the changes since a version.
 *
 * @param <T> the type of an item
 */
public interface ChangeSource<T> {

    /**
     * Reads a snapshot of the table.
     *
     * @return all items
     */
    CompletableFuture<Changes<T>> readAll();

    /**
     * Reads what changed after a version.
     *
     * @param version the version
     * @param waitMilliseconds how long the store waits for the first change before it answers
     * @return the changes, empty if there were none
     */
    CompletableFuture<Changes<T>> changesAfter(long version, long waitMilliseconds);
}
