package org.siskinramp.standin.measurement.report;

import java.util.List;

/**
 * The values of one routing policy in a chart, one for each category.
 *
 * @param name the name in the legend
 * @param values the values, NaN for a category without one
 */
record Series(String name, List<Double> values) {

    Series {
        values = List.copyOf(values);
    }

    double maximum() {
        return values.stream()
                .mapToDouble(Double::doubleValue)
                .filter(value -> !Double.isNaN(value))
                .max()
                .orElse(0);
    }
}
