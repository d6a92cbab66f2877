package org.siskinramp.standin.measurement.report;

import java.util.Arrays;
import java.util.Locale;

/**
 * Holds the median of a figure over the repeats, and its spread.
 *
 * @param median the median
 * @param least the least value
 * @param greatest the greatest value
 */
record Figure(double median, double least, double greatest) {

    static Figure of(double... values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        double median =
                sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new Figure(median, sorted[0], sorted[sorted.length - 1]);
    }

    /** Writes the median, and the spread in brackets unless all values are the same. */
    String toText() {
        if (least == greatest) {
            return write(median);
        }
        return write(median) + " [" + write(least) + "–" + write(greatest) + "]";
    }

    static String write(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e9) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        double size = Math.abs(value);
        String format = size >= 100 ? "%.0f" : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : "%.4f";
        return String.format(Locale.ROOT, format, value);
    }
}
