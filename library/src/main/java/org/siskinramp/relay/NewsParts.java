package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Puts the parts of a long list together. A list of which a part went missing is dropped, since
 * what is not in a whole list is taken as gone. It is guarded by the lock of its owner.
 *
 * @param <T> the type of an item
 */
final class NewsParts<T> {

    private final List<T> items = new ArrayList<>();
    private long version;
    private int next;

    /** Adds a part of the list of a version; returns all items once the list is complete. */
    Optional<List<T>> add(long listVersion, int part, boolean more, List<T> added) {
        if (part == 0) {
            clear();
            version = listVersion;
        }
        if (part != next || listVersion != version) {
            clear();
            return Optional.empty();
        }
        items.addAll(added);
        next++;
        if (more) {
            return Optional.empty();
        }
        List<T> complete = List.copyOf(items);
        clear();
        return Optional.of(complete);
    }

    private void clear() {
        items.clear();
        next = 0;
    }
}
