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

/** Keeps the names of batches and indexes, and chooses which batches must be read for a key. */
final class BatchTable {

    private final Map<Incarnation, NavigableMap<Long, BatchName>> batches = new HashMap<>();
    private final List<IndexName> indexes = new ArrayList<>();
    private final Set<BatchName> toRead = new LinkedHashSet<>();

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

    Collection<BatchName> toRead() {
        return List.copyOf(toRead);
    }

    /** Chooses the batches that name gaps, and those with entries that no index covers. */
    void chooseUnindexed() {
        Set<BatchName> unindexed = new LinkedHashSet<>(all());
        indexes.forEach(index -> unindexed.removeAll(covered(index).values()));
        unindexed.stream().filter(batch -> batch.entries() > 0).forEach(toRead::add);
        all().stream().filter(BatchName::hasGaps).forEach(toRead::add);
    }

    /**
     * Chooses the batches that an index names.
     *
     * @param index the index
     * @param sequences the batches that may hold the key, or empty if the index cannot be read
     */
    void chooseIndexed(IndexName index, Optional<Set<Long>> sequences) {
        covered(index).values().stream()
                .filter(batch -> batch.entries() > 0)
                .filter(batch -> sequences.isEmpty() || sequences.get().contains(batch.sequence()))
                .forEach(toRead::add);
    }

    private NavigableMap<Long, BatchName> covered(IndexName index) {
        NavigableMap<Long, BatchName> found =
                batches.get(new Incarnation(index.host(), index.incarnation()));
        return found == null
                ? new TreeMap<>()
                : found.subMap(index.firstSequence(), true, index.lastSequence(), true);
    }
}
