package org.siskinramp.log;

/** Receives the counts that the decisions report. */
@FunctionalInterface
public interface Counters {

    /**
     * Raises a counter.
     *
     * @param counter the counter
     * @param amount by how much, one or more
     */
    void add(Counter counter, long amount);

    /**
     * Raises a counter by one.
     *
     * @param counter the counter
     */
    default void add(Counter counter) {
        add(counter, 1);
    }
}
