package org.siskinramp.standin.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;

/** Holds the rows of all tables and the history of their changes. */
final class StoreTables {

    private final Map<RowName, StoredRow> rows = new TreeMap<>();
    private final List<StoredRow> history = new ArrayList<>();
    private long version;
    private long historyStartVersion;
    private final Queue<Copy> copies = new ArrayDeque<>();
    private long restoredVersion;
    private long era = 1;

    synchronized long version() {
        return version;
    }

    /**
     * Writes and removes rows under one new version, or does nothing if a row does not have the
     * version that its condition demands; an absent row has version 0.
     *
     * @return whether the transaction was committed
     */
    synchronized boolean commit(
            Map<RowName, Long> conditions, Map<RowName, String> put, List<RowName> removed) {
        for (Map.Entry<RowName, Long> condition : conditions.entrySet()) {
            if (versionOf(condition.getKey()) != condition.getValue()) {
                return false;
            }
        }
        version++;
        put.forEach((name, value) -> apply(name, value, false));
        removed.stream().filter(rows::containsKey).forEach(name -> apply(name, "", true));
        return true;
    }

    private long versionOf(RowName name) {
        return Optional.ofNullable(rows.get(name)).map(StoredRow::ver).orElse(0L);
    }

    private void apply(RowName name, String value, boolean removed) {
        StoredRow row =
                new StoredRow(name.table(), name.part(), name.key(), value, version, removed);
        if (removed) {
            rows.remove(name);
        } else {
            rows.put(name, row);
        }
        history.add(row);
    }

    /** Returns up to {@code limit} rows of a part, in key order from one key on (inclusive). */
    synchronized List<StoredRow> read(String table, String part, String from, int limit) {
        return rows.values().stream()
                .filter(row -> row.table().equals(table) && row.part().equals(part))
                .filter(row -> row.key().compareTo(from) >= 0)
                .limit(limit)
                .toList();
    }

    /**
     * Returns the changes of a table after a version, or empty if the history since then was
     * discarded.
     */
    synchronized Optional<List<StoredRow>> changesAfter(String table, long after) {
        if (after < historyStartVersion || after > version) {
            return Optional.empty();
        }
        return Optional.of(
                history.stream()
                        .filter(row -> row.ver() > after && row.table().equals(table))
                        .toList());
    }

    synchronized long era() {
        return era;
    }

    synchronized void saveCopy() {
        copies.add(new Copy(new TreeMap<>(rows), version));
    }

    /** Goes back to the oldest saved copy, which is used up, and begins a new era. */
    synchronized void restoreCopy() {
        Copy copy = copies.remove();
        rows.clear();
        rows.putAll(copy.rows);
        boolean isHistoryComplete = copy.version <= version;
        version = copy.version;
        restoredVersion = version;
        history.removeIf(row -> row.ver() > version);
        historyStartVersion = Math.min(historyStartVersion, version);
        if (!isHistoryComplete) {
            dropHistory();
        }
        era++;
    }

    /** Returns the rows of a table that were not written since the store was restored. */
    synchronized List<RowName> rowsNotRenewed(String table) {
        return rows.values().stream()
                .filter(row -> row.table().equals(table) && row.ver() <= restoredVersion)
                .map(StoredRow::name)
                .toList();
    }

    synchronized void dropHistory() {
        history.clear();
        historyStartVersion = version;
    }

    private record Copy(Map<RowName, StoredRow> rows, long version) {}
}
