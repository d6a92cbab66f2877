package org.siskinramp.follow;

import java.util.List;

/**
 * Holds a snapshot of a table, or a delta: its changes since an earlier version.
 *
 * @param version the position of the table's {@link StoreVersion} after these changes
 * @param isSnapshot true for a snapshot, which holds all items of the table; false for a delta
 * @param isRestored true for a snapshot that was read soon after the store was restored: an item
 *     that is missing or older may only not have been written again yet
 * @param items the items, in order
 * @param <T> the type of an item
 */
public record Changes<T>(long version, boolean isSnapshot, boolean isRestored, List<T> items) {

    /**
     * Copies the items so that they cannot change.
     *
     * @param version the version
     * @param isSnapshot whether this is a snapshot
     * @param isRestored whether the store was restored shortly before
     * @param items the items
     */
    public Changes {
        items = List.copyOf(items);
    }

    /**
     * Creates changes of a store that was not restored shortly before.
     *
     * @param version the version
     * @param isSnapshot whether this is a snapshot
     * @param items the items
     */
    public Changes(long version, boolean isSnapshot, List<T> items) {
        this(version, isSnapshot, false, items);
    }

    /**
     * Returns the same changes as a snapshot of a store that was restored shortly before.
     *
     * @return the changes
     */
    public Changes<T> asRestored() {
        return new Changes<>(version, isSnapshot, true, items);
    }
}
