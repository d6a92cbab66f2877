package org.siskinramp.standin.measurement.report;

import java.util.Arrays;
import java.util.Locale;

/**
 * The median and the range of a measured value over the repeated runs.
 *
 * @param median the median
 * @param minimum the smallest value
 * @param maximum the largest value
 */
record RepeatStatistics(double median, double minimum, double maximum) {

    static RepeatStatistics of(double... values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        double median =
                sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new RepeatStatistics(median, sorted[0], sorted[sorted.length - 1]);
    }

    /** Formats the median, followed by the range in brackets unless all values are equal. */
    String toText() {
        if (minimum == maximum) {
            return format(median);
        }
        return format(median) + " [" + format(minimum) + "–" + format(maximum) + "]";
    }

    static String format(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e9) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        double magnitude = Math.abs(value);
        String pattern =
                magnitude >= 100
                        ? "%.0f"
                        : magnitude >= 10 ? "%.1f" : magnitude >= 1 ? "%.2f" : "%.4f";
        return String.format(Locale.ROOT, pattern, value);
    }
}
