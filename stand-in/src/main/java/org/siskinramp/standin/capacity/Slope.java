package org.siskinramp.standin.capacity;

import org.siskinramp.log.EventLog;

/** Measures one part of the library at several sizes. */
@FunctionalInterface
public interface Slope {

    /**
     * Measures and reports one line for each size.
     *
     * @param output where the lines go
     */
    void measure(EventLog output);
}
