package org.siskinramp.standin.store;

import java.util.Comparator;

/**
 * Identifies a row.
 *
 * @param table the name of its table
 * @param part the part of the table that holds it; empty in all tables that siskinramp uses
 * @param key its key
 */
record RowName(String table, String part, String key) implements Comparable<RowName> {

    private static final Comparator<RowName> ORDER =
            Comparator.comparing(RowName::table)
                    .thenComparing(RowName::part)
                    .thenComparing(RowName::key);

    @Override
    public int compareTo(RowName other) {
        return ORDER.compare(this, other);
    }
}
