package org.siskinramp.follow;

import java.util.List;

/**
 * Holds what a table has, or what changed in it.
 *
 * @param version the version up to which this tells the table
 * @param whole true if the items are all that the table has, false if they are what changed
 * @param items the items, in order
 * @param <T> the type of an item
 */
public record Changes<T>(long version, boolean whole, List<T> items) {

    /**
     * Copies the items so that they cannot change.
     *
     * @param version the version
     * @param whole whether the items are all there is
     * @param items the items
     */
    public Changes {
        items = List.copyOf(items);
    }
}
