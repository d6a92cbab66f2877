package org.siskinramp.follow;

import java.util.concurrent.CompletableFuture;

/**
 * Reads a table and its changes. Futures fail with a {@link org.siskinramp.result.ResultException},
 * whose code is {@code HISTORY_GONE} if the changes since a version are not known any more.
 *
 * @param <T> the type of an item
 */
public interface ChangeSource<T> {

    /**
     * Reads the whole table.
     *
     * @return all items
     */
    CompletableFuture<Changes<T>> readAll();

    /**
     * Reads what changed after a version.
     *
     * @param version the version
     * @param waitMilliseconds how long to wait for the first change
     * @return the changes, perhaps none
     */
    CompletableFuture<Changes<T>> changesAfter(long version, long waitMilliseconds);
}
