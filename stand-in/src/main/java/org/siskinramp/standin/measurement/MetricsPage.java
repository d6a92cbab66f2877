package org.siskinramp.standin.measurement;

import java.nio.charset.StandardCharsets;

/** Holds what one entry host gave out as metrics in the Prometheus text format. */
final class MetricsPage {

    private final String text;

    private MetricsPage(String text) {
        this.text = text;
    }

    static MetricsPage of(byte[] content) {
        return new MetricsPage(new String(content, StandardCharsets.UTF_8));
    }

    /** Sums the samples of a metric, whatever their labels; zero if there are none. */
    double value(String metric) {
        return text.lines()
                .filter(line -> line.startsWith(metric + " ") || line.startsWith(metric + "{"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }
}
