package org.siskinramp.standin.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Keeps the rows of all tables and the history of their changes. */
final class StoreTables {

    private final Map<RowName, StoredRow> rows = new TreeMap<>();
    private final List<StoredRow> history = new ArrayList<>();
    private long version;
    private long dropped;

    synchronized long version() {
        return version;
    }

    /** Writes all rows under one version, unless a condition does not hold. */
    synchronized boolean commit(
            Map<RowName, Long> conditions, Map<RowName, String> put, List<RowName> removed) {
        for (Map.Entry<RowName, Long> condition : conditions.entrySet()) {
            if (versionOf(condition.getKey()) != condition.getValue()) {
                return false;
            }
        }
        version++;
        put.forEach((name, value) -> change(name, value, false));
        removed.stream().filter(rows::containsKey).forEach(name -> change(name, "", true));
        return true;
    }

    private long versionOf(RowName name) {
        return Optional.ofNullable(rows.get(name)).map(StoredRow::ver).orElse(0L);
    }

    private void change(RowName name, String value, boolean removed) {
        StoredRow row =
                new StoredRow(name.table(), name.part(), name.key(), value, version, removed);
        if (removed) {
            rows.remove(name);
        } else {
            rows.put(name, row);
        }
        history.add(row);
    }

    /** Returns the rows of a part from one key on, in key order. */
    synchronized List<StoredRow> read(String table, String part, String from, int limit) {
        return rows.values().stream()
                .filter(row -> row.table().equals(table) && row.part().equals(part))
                .filter(row -> row.key().compareTo(from) >= 0)
                .limit(limit)
                .toList();
    }

    /** Returns what changed in a table, or empty if the history since then was dropped. */
    synchronized Optional<List<StoredRow>> changes(String table, long after) {
        if (after < dropped) {
            return Optional.empty();
        }
        return Optional.of(
                history.stream()
                        .filter(row -> row.ver() > after && row.table().equals(table))
                        .toList());
    }

    synchronized void dropHistory() {
        history.clear();
        dropped = version;
    }
}
