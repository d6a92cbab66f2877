package org.siskinramp.standin.measurement.report;

import java.util.List;

/**
 * A chart of several series over named categories, with axes, labels and a legend.
 *
 * @param title the title
 * @param axisLabel the label of the vertical axis, such as a unit
 * @param categories the names of the categories along the horizontal axis
 * @param series the series
 */
record Chart(String title, String axisLabel, List<String> categories, List<Series> series) {

    private static final int WIDTH = 960;
    private static final int HEIGHT = 420;
    private static final int LEFT_MARGIN = 70;
    private static final int RIGHT_MARGIN = 20;
    private static final int TOP_MARGIN = 70;
    private static final int BOTTOM_MARGIN = 50;
    private static final int TICKS = 5;
    private static final int LEGEND_ENTRY_WIDTH = 148;
    private static final double BAR_GROUP_SHARE = 0.8;
    private static final List<String> COLOURS =
            List.of("#0b6e4f", "#6bbf59", "#c0392b", "#e67e22", "#2c5aa0", "#8e6bbf");

    Chart {
        categories = List.copyOf(categories);
        series = List.copyOf(series);
    }

    String bars() {
        Svg svg = drawFrame();
        double groupWidth = categoryWidth();
        double barWidth = groupWidth * BAR_GROUP_SHARE / series.size();
        for (int index = 0; index < series.size(); index++) {
            for (int category = 0; category < categories.size(); category++) {
                double value = series.get(index).values().get(category);
                double left =
                        LEFT_MARGIN
                                + category * groupWidth
                                + groupWidth * (1 - BAR_GROUP_SHARE) / 2
                                + index * barWidth;
                if (!Double.isNaN(value)) {
                    double top = yOf(value);
                    svg.rectangle(
                            left, top, barWidth * 0.9, HEIGHT - BOTTOM_MARGIN - top, colour(index));
                }
            }
        }
        return svg.toText();
    }

    String lines() {
        Svg svg = drawFrame();
        for (int index = 0; index < series.size(); index++) {
            drawLine(svg, series.get(index), colour(index));
        }
        return svg.toText();
    }

    private void drawLine(Svg svg, Series line, String colour) {
        for (int category = 0; category < categories.size(); category++) {
            double value = line.values().get(category);
            if (Double.isNaN(value)) {
                continue;
            }
            svg.circle(xOf(category), yOf(value), 3, colour);
            double previous = category == 0 ? Double.NaN : line.values().get(category - 1);
            if (!Double.isNaN(previous)) {
                svg.line(xOf(category - 1), yOf(previous), xOf(category), yOf(value), colour, 2);
            }
        }
    }

    private Svg drawFrame() {
        Svg svg = new Svg(WIDTH, HEIGHT);
        svg.text(LEFT_MARGIN, 22, 16, "start", title);
        svg.text(LEFT_MARGIN, TOP_MARGIN - 10, 11, "end", axisLabel);
        drawAxes(svg);
        for (int index = 0; index < series.size(); index++) {
            int left = LEFT_MARGIN + index * LEGEND_ENTRY_WIDTH;
            svg.rectangle(left, 32, 10, 10, colour(index));
            svg.text(left + 14, 41, 11, "start", series.get(index).name());
        }
        return svg;
    }

    private void drawAxes(Svg svg) {
        int baseline = HEIGHT - BOTTOM_MARGIN;
        for (int tick = 0; tick <= TICKS; tick++) {
            double value = axisMaximum() * tick / TICKS;
            double y = yOf(value);
            svg.line(LEFT_MARGIN, y, WIDTH - RIGHT_MARGIN, y, tick == 0 ? "#333" : "#ddd", 1);
            svg.text(LEFT_MARGIN - 6, y + 4, 11, "end", RepeatStatistics.format(value));
        }
        svg.line(LEFT_MARGIN, TOP_MARGIN, LEFT_MARGIN, baseline, "#333", 1);
        for (int category = 0; category < categories.size(); category++) {
            int labelOffset = category % 2 == 0 ? 18 : 34;
            svg.text(xOf(category), baseline + labelOffset, 11, "middle", categories.get(category));
        }
    }

    private double categoryWidth() {
        return (double) (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) / categories.size();
    }

    private double xOf(int category) {
        return LEFT_MARGIN + (category + 0.5) * categoryWidth();
    }

    private double yOf(double value) {
        double baseline = HEIGHT - BOTTOM_MARGIN;
        return baseline - (baseline - TOP_MARGIN) * value / axisMaximum();
    }

    /** Returns the upper end of the vertical axis: a round number that is not below any value. */
    private double axisMaximum() {
        double maximum = series.stream().mapToDouble(Series::maximum).max().orElse(0);
        if (maximum <= 0) {
            return 1;
        }
        double powerOfTen = Math.pow(10, Math.floor(Math.log10(maximum)));
        return Math.ceil(maximum / powerOfTen * 2) / 2 * powerOfTen;
    }

    private static String colour(int index) {
        return COLOURS.get(index % COLOURS.size());
    }
}
