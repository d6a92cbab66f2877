package org.siskinramp.follow;

import java.util.List;

/**
 * Holds a snapshot of a table, or a delta: its changes since an earlier version.
 *
 * @param version the version of the table after these changes
 * @param isSnapshot true for a snapshot, which holds all items of the table; false for a delta
 * @param items the items, in order
 * @param <T> the type of an item
 */
public record Changes<T>(long version, boolean isSnapshot, List<T> items) {

    /**
     * Copies the items so that they cannot change.
     *
     * @param version the version
     * @param isSnapshot whether this is a snapshot
     * @param items the items
     */
    public Changes {
        items = List.copyOf(items);
    }
}
