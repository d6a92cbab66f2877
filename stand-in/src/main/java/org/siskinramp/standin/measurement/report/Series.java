package org.siskinramp.standin.measurement.report;

import java.util.List;

/**
 * Holds the values of one policy, one for each place on the horizontal axis.
 *
 * @param name the name in the legend
 * @param values the values; not a number for none
 */
record Series(String name, List<Double> values) {

    Series {
        values = List.copyOf(values);
    }

    double greatest() {
        return values.stream()
                .mapToDouble(Double::doubleValue)
                .filter(value -> !Double.isNaN(value))
                .max()
                .orElse(0);
    }
}
