package org.siskinramp.daemon.metrics;

import java.util.List;

/**
 * The value of one series of a metric.
 *
 * @param value the value
 * @param labels the values of the metric's labels, in their order
 */
public record LabelledValue(double value, List<String> labels) {

    /**
     * Copies the list so that the value cannot change.
     *
     * @param value the value
     * @param labels the values of the metric's labels
     */
    public LabelledValue {
        labels = List.copyOf(labels);
    }

    /**
     * Creates the value of a series.
     *
     * @param value the value
     * @param labels the values of the metric's labels, in their order
     * @return the value
     */
    public static LabelledValue of(double value, String... labels) {
        return new LabelledValue(value, List.of(labels));
    }
}
