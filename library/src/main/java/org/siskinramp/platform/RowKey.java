package org.siskinramp.platform;

/**
 * Identifies a row of the table service.
 *
 * @param table the table
 * @param key the key within the table
 */
public record RowKey(String table, String key) {}
