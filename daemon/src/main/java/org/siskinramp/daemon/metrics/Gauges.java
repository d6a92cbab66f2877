package org.siskinramp.daemon.metrics;

import java.util.function.DoubleSupplier;

/** Takes in gauges: values that are read whenever the metrics are collected. */
@FunctionalInterface
public interface Gauges {

    /**
     * Registers a gauge.
     *
     * @param name the metric's name, such as {@code siskinramp_waiting_requests}
     * @param help one sentence that says what it measures, with the unit
     * @param value answers quickly and from any thread
     */
    void register(String name, String help, DoubleSupplier value);
}
