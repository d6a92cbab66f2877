package org.siskinramp.platform;

/**
 * Holds a row of the table service as it was read.
 *
 * @param key the name of the row
 * @param version the version, which rises with every write of the row; the first is 1
 * @param value the content, usually JSON text
 */
public record Row(RowKey key, long version, String value) {}
