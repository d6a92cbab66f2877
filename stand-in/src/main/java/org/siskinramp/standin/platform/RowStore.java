package org.siskinramp.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;

/** Holds the rows of all tables. Each call is atomic. */
final class RowStore {

    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();

    synchronized CommitResult commit(List<Write> writes) {
        List<Integer> failed = failedConditions(writes);
        if (!failed.isEmpty()) {
            return new CommitResult(List.of(), failed);
        }
        return new CommitResult(writes.stream().map(this::apply).toList(), List.of());
    }

    synchronized List<Row> read(List<RowKey> keys) {
        return keys.stream().map(this::find).flatMap(Optional::stream).toList();
    }

    synchronized List<Row> scan(String table, String prefix, String after, int limit) {
        String start = prefix.compareTo(after) > 0 ? prefix : after;
        return rowsOf(table).tailMap(start, true).values().stream()
                .filter(row -> after.isEmpty() || row.key().key().compareTo(after) > 0)
                .takeWhile(row -> row.key().key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    synchronized int size() {
        return tables.values().stream().mapToInt(Map::size).sum();
    }

    private List<Integer> failedConditions(List<Write> writes) {
        List<Integer> failed = new ArrayList<>();
        for (int index = 0; index < writes.size(); index++) {
            Write write = writes.get(index);
            boolean conditional = write.expectedVersion() != Write.ANY;
            if (conditional && write.expectedVersion() != versionOf(write.key())) {
                failed.add(index);
            }
        }
        return failed;
    }

    private long apply(Write write) {
        RowKey key = write.key();
        if (write.value().isEmpty()) {
            rowsOf(key.table()).remove(key.key());
            return 0;
        }
        long version = versionOf(key) + 1;
        rowsOf(key.table()).put(key.key(), new Row(key, version, write.value().get()));
        return version;
    }

    private long versionOf(RowKey key) {
        return find(key).map(Row::version).orElse(Write.ABSENT);
    }

    private Optional<Row> find(RowKey key) {
        return Optional.ofNullable(rowsOf(key.table()).get(key.key()));
    }

    private NavigableMap<String, Row> rowsOf(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }
}
