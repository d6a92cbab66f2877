package org.siskinramp.standin.store;

/**
 * One version of a row, as the store sends it.
 *
 * @param table the name of its table
 * @param part the part of the table
 * @param key its key
 * @param value its value in base64, empty if the row was removed
 * @param ver the version of the transaction that wrote or removed it
 * @param removed whether the row was removed
 */
record StoredRow(String table, String part, String key, String value, long ver, boolean removed) {

    RowName name() {
        return new RowName(table, part, key);
    }
}
