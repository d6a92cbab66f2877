package org.siskinramp.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reaches the platform's service.
 *
 * <p>Futures fail with a {@link org.siskinramp.result.ResultException}:
 *
 * <ul>
 *   <li>{@code CONDITION_FAILED} if a condition of a transaction does not hold; nothing was written
 *   <li>{@code PLATFORM_UNAVAILABLE} if the request certainly had no effect
 *   <li>{@code PLATFORM_ANSWER_LOST} if a write may or may not have taken effect
 * </ul>
 */
public interface Platform {

    /**
     * Writes all rows or none.
     *
     * @param writes the writes with their conditions, at most 500
     * @return completes once the writes are durable
     */
    CompletableFuture<Void> commit(List<Write> writes);

    /**
     * Reads rows by name.
     *
     * @param keys the rows, at most 500
     * @return the rows that exist, in the order of the keys
     */
    CompletableFuture<List<Row>> read(List<RowKey> keys);

    /**
     * Reads rows of a table in key order.
     *
     * @param table the table
     * @param keyPrefix what the keys must start with, or an empty string
     * @param afterKey the key to start behind, or an empty string
     * @param limit the greatest number of rows, at most 1,000
     * @return the rows
     */
    CompletableFuture<List<Row>> scan(String table, String keyPrefix, String afterKey, int limit);

    /**
     * Stores an object, replacing an earlier one.
     *
     * @param name the object's name
     * @param content the content
     * @return completes once the object is durable
     */
    CompletableFuture<Void> putObject(String name, byte[] content);

    /**
     * Reads an object.
     *
     * @param name the object's name
     * @return the content, or empty if there is no such object
     */
    CompletableFuture<Optional<byte[]>> getObject(String name);

    /**
     * Lists the names of objects in order.
     *
     * @param prefix what the names must start with
     * @return the names
     */
    CompletableFuture<List<String>> listObjects(String prefix);

    /**
     * Reads the lagging list of live and leaving entry hosts.
     *
     * @return the listed hosts
     */
    CompletableFuture<List<ListedHost>> hosts();
}
