package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reassembles a long list from the parts in which it was sent. A list with a missing part is
 * dropped, since receivers remove items that a complete list lacks. Not thread-safe; guarded by the
 * lock of its owner.
 *
 * @param <T> the type of an item
 */
final class MultipartList<T> {

    private final List<T> items = new ArrayList<>();
    private long version;
    private int nextPart;

    /** Adds a part of the list with a version; returns all items when the list is complete. */
    Optional<List<T>> addPart(long listVersion, int part, boolean hasMoreParts, List<T> partItems) {
        if (part == 0) {
            clear();
            version = listVersion;
        }
        if (part != nextPart || listVersion != version) {
            clear();
            return Optional.empty();
        }
        items.addAll(partItems);
        nextPart++;
        if (hasMoreParts) {
            return Optional.empty();
        }
        List<T> complete = List.copyOf(items);
        clear();
        return Optional.of(complete);
    }

    /** Splits a list into parts of at most the given size; an empty list gives one empty part. */
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
        nextPart = 0;
    }
}
