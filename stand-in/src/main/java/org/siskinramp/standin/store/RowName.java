package org.siskinramp.standin.store;

import java.util.Comparator;

/**
 * Names a row.
 *
 * @param table its table
 * @param part its part, which may be empty
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
