package org.siskinramp.standin.measurement;

import java.nio.charset.StandardCharsets;

/** The metrics of one entry host at one moment, in the Prometheus text format. */
final class MetricsPage {

    private final String text;

    private MetricsPage(String text) {
        this.text = text;
    }

    static MetricsPage of(byte[] content) {
        return new MetricsPage(new String(content, StandardCharsets.UTF_8));
    }

    /** Returns the sum of a metric over all its labels, or zero if it has no samples. */
    double value(String metric) {
        return text.lines()
                .filter(line -> line.startsWith(metric + " ") || line.startsWith(metric + "{"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }
}
