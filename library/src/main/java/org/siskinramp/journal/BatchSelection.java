package org.siskinramp.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Holds the names of batches and indexes, and selects the batches to read for a key. */
final class BatchSelection {

    private final Map<Incarnation, NavigableMap<Long, BatchName>> batches = new HashMap<>();
    private final List<IndexName> indexes = new ArrayList<>();
    private final Set<BatchName> selected = new LinkedHashSet<>();

    void add(String objectName) {
        BatchName.parse(objectName)
                .ifPresent(
                        batch ->
                                batches.computeIfAbsent(
                                                new Incarnation(batch.host(), batch.incarnation()),
                                                incarnation -> new TreeMap<>())
                                        .put(batch.sequence(), batch));
        IndexName.parse(objectName).ifPresent(indexes::add);
    }

    List<BatchName> all() {
        return batches.values().stream().flatMap(found -> found.values().stream()).toList();
    }

    List<IndexName> indexes() {
        return List.copyOf(indexes);
    }

    Collection<BatchName> selected() {
        return List.copyOf(selected);
    }

    /** Selects the batches that record gaps, and the batches with entries that no index covers. */
    void selectUnindexed() {
        Set<BatchName> unindexed = new LinkedHashSet<>(all());
        indexes.forEach(index -> unindexed.removeAll(batchesOf(index).values()));
        unindexed.stream().filter(batch -> batch.entries() > 0).forEach(selected::add);
        all().stream().filter(BatchName::hasGaps).forEach(selected::add);
    }

    /**
     * Selects the batches that may contain the key according to an index.
     *
     * @param index the name of the index
     * @param sequences the batches that may contain the key; empty if the index cannot be read, to
     *     select all batches that it covers
     */
    void selectIndexed(IndexName index, Optional<Set<Long>> sequences) {
        batchesOf(index).values().stream()
                .filter(batch -> batch.entries() > 0)
                .filter(batch -> sequences.isEmpty() || sequences.get().contains(batch.sequence()))
                .forEach(selected::add);
    }

    private NavigableMap<Long, BatchName> batchesOf(IndexName index) {
        NavigableMap<Long, BatchName> found =
                batches.get(new Incarnation(index.host(), index.incarnation()));
        return found == null
                ? new TreeMap<>()
                : found.subMap(index.firstSequence(), true, index.lastSequence(), true);
    }
}
