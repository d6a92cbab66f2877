package org.siskinramp.log;

/** Receives the increments of counters. */
@FunctionalInterface
public interface Counters {

    /**
     * Increments a counter.
     *
     * @param counter the counter
     * @param amount the increment, one or more
     */
    void add(Counter counter, long amount);

    /**
     * Increments a counter by one.
     *
     * @param counter the counter
     */
    default void add(Counter counter) {
        add(counter, 1);
    }
}
