package org.siskinramp.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Accesses the platform's table service, object store and host list.
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
     * Writes all rows or none, in one transaction.
     *
     * @param writes the writes with their conditions, at most 500
     * @return completes once the writes are durable
     */
    CompletableFuture<Void> commit(List<Write> writes);

    /**
     * Reads rows by key.
     *
     * @param keys the rows, at most 500
     * @return the rows that exist, in the order of the keys
     */
    CompletableFuture<List<Row>> read(List<RowKey> keys);

    /**
     * Reads rows of a table in key order.
     *
     * @param table the table
     * @param keyPrefix the prefix of the keys, or an empty string
     * @param afterKey the key after which to start, or an empty string
     * @param limit the maximum number of rows, at most 1,000
     * @return the rows
     */
    CompletableFuture<List<Row>> scan(String table, String keyPrefix, String afterKey, int limit);

    /**
     * Stores an object, and replaces an existing one of the same name.
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
     * @param prefix the prefix of the names
     * @return the names
     */
    CompletableFuture<List<String>> listObjects(String prefix);

    /**
     * Reads the list of running entry hosts, including those that the platform is about to stop. It
     * may be out of date.
     *
     * @return the listed hosts
     */
    CompletableFuture<List<ListedHost>> hosts();
}
