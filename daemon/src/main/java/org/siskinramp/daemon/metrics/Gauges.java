package org.siskinramp.daemon.metrics;

import java.util.function.DoubleSupplier;

/** Registers gauges: metrics whose values are read whenever the metrics are collected. */
@FunctionalInterface
public interface Gauges {

    /**
     * Registers a gauge.
     *
     * @param name the metric's name, such as {@code siskinramp_waiting_requests}
     * @param help one sentence that describes the gauge, with its unit
     * @param value returns the current value; called on any thread, must not block
     */
    void register(String name, String help, DoubleSupplier value);
}
