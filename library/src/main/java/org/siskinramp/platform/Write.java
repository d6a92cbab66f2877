package org.siskinramp.platform;

import java.util.Optional;

/**
 * Describes one write of a transaction and its condition.
 *
 * @param key the row
 * @param value the new content, or empty to delete the row
 * @param expectedVersion the version that the row must have: {@link #ABSENT} if it must not exist,
 *     {@link #ANY} for no condition
 */
public record Write(RowKey key, Optional<String> value, long expectedVersion) {

    /** The row must not exist. */
    public static final long ABSENT = 0;

    /** The row may have any version or none. */
    public static final long ANY = -1;

    /**
     * Returns a write that inserts a row, which must not exist.
     *
     * @param key the row
     * @param value the content
     * @return the write
     */
    public static Write insert(RowKey key, String value) {
        return new Write(key, Optional.of(value), ABSENT);
    }

    /**
     * Returns a write that replaces a row, which must have the expected version.
     *
     * @param key the row
     * @param value the new content
     * @param expectedVersion the version that was read
     * @return the write
     */
    public static Write replace(RowKey key, String value, long expectedVersion) {
        return new Write(key, Optional.of(value), expectedVersion);
    }

    /**
     * Returns a write that deletes a row, which must have the expected version.
     *
     * @param key the row
     * @param expectedVersion the version that was read
     * @return the write
     */
    public static Write delete(RowKey key, long expectedVersion) {
        return new Write(key, Optional.empty(), expectedVersion);
    }
}
