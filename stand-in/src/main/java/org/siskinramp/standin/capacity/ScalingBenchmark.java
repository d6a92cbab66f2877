package org.siskinramp.standin.capacity;

import org.siskinramp.log.EventLog;

/** Measures what one part of the library costs at several sizes of a deployment. */
@FunctionalInterface
public interface ScalingBenchmark {

    /**
     * Measures and logs one line for each size.
     *
     * @param output the log for the lines
     */
    void measure(EventLog output);
}
