package org.siskinramp.standin.store;

/**
 * Holds one version of a row.
 *
 * @param table its table
 * @param part its part
 * @param key its key
 * @param value its value in base64, empty if it was removed
 * @param ver the version of the transaction that wrote it
 * @param removed whether it was removed
 */
record StoredRow(String table, String part, String key, String value, long ver, boolean removed) {

    RowName name() {
        return new RowName(table, part, key);
    }
}
