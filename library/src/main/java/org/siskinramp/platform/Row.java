package org.siskinramp.platform;

/**
 * Holds a row that was read from the table service.
 *
 * @param key the key of the row
 * @param version the version, which increases with every write of the row; the first is 1
 * @param value the content, usually JSON text
 */
public record Row(RowKey key, long version, String value) {}
