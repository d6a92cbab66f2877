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

    /** Cuts a list into parts of a size, an empty list into one that is empty. */
    static <T> List<List<T>> split(List<T> items, int size) {
        List<List<T>> parts = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(items.size(), from + size);
            parts.add(items.subList(from, to));
            from = to;
        } while (from < items.size());
        return parts;
    }

    private void clear() {
        items.clear();
        next = 0;
    }
}
