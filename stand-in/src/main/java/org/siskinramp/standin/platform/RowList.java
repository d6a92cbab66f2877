package org.siskinramp.standin.platform;

import java.util.List;
import org.siskinramp.platform.Row;

/**
 * The rows in the answer to a read.
 *
 * @param rows the rows
 */
record RowList(List<Item> rows) {

    static RowList of(List<Row> rows) {
        return new RowList(rows.stream().map(Item::of).toList());
    }

    /**
     * One row.
     *
     * @param table the table
     * @param key the key
     * @param version the version
     * @param value the value
     */
    record Item(String table, String key, long version, String value) {

        static Item of(Row row) {
            return new Item(row.key().table(), row.key().key(), row.version(), row.value());
        }
    }
}
