package org.siskinramp.standin.measurement.report;

import java.util.List;

/**
 * Draws series over named places, with axes, labels and a legend.
 *
 * @param title the title
 * @param unit the label of the vertical axis
 * @param places the names along the horizontal axis
 * @param series the series
 */
record Chart(String title, String unit, List<String> places, List<Series> series) {

    private static final int WIDTH = 960;
    private static final int HEIGHT = 420;
    private static final int LEFT = 70;
    private static final int RIGHT = 20;
    private static final int TOP = 70;
    private static final int BOTTOM = 50;
    private static final int TICKS = 5;
    private static final int LEGEND_STEP = 148;
    private static final double GROUP_SHARE = 0.8;
    private static final List<String> COLOURS =
            List.of("#0b6e4f", "#6bbf59", "#c0392b", "#e67e22", "#2c5aa0", "#8e6bbf");

    Chart {
        places = List.copyOf(places);
        series = List.copyOf(series);
    }

    String bars() {
        Svg svg = frame();
        double slot = slotWidth();
        double bar = slot * GROUP_SHARE / series.size();
        for (int index = 0; index < series.size(); index++) {
            for (int place = 0; place < places.size(); place++) {
                double value = series.get(index).values().get(place);
                double left = LEFT + place * slot + slot * (1 - GROUP_SHARE) / 2 + index * bar;
                if (!Double.isNaN(value)) {
                    double top = vertical(value);
                    svg.rectangle(left, top, bar * 0.9, HEIGHT - BOTTOM - top, colour(index));
                }
            }
        }
        return svg.toText();
    }

    String lines() {
        Svg svg = frame();
        for (int index = 0; index < series.size(); index++) {
            drawLine(svg, series.get(index), colour(index));
        }
        return svg.toText();
    }

    private void drawLine(Svg svg, Series line, String colour) {
        for (int place = 0; place < places.size(); place++) {
            double value = line.values().get(place);
            if (Double.isNaN(value)) {
                continue;
            }
            svg.circle(horizontal(place), vertical(value), 3, colour);
            double before = place == 0 ? Double.NaN : line.values().get(place - 1);
            if (!Double.isNaN(before)) {
                svg.line(
                        horizontal(place - 1),
                        vertical(before),
                        horizontal(place),
                        vertical(value),
                        colour,
                        2);
            }
        }
    }

    private Svg frame() {
        Svg svg = new Svg(WIDTH, HEIGHT);
        svg.text(LEFT, 22, 16, "start", title);
        svg.text(LEFT, TOP - 10, 11, "end", unit);
        drawAxes(svg);
        for (int index = 0; index < series.size(); index++) {
            int left = LEFT + index * LEGEND_STEP;
            svg.rectangle(left, 32, 10, 10, colour(index));
            svg.text(left + 14, 41, 11, "start", series.get(index).name());
        }
        return svg;
    }

    private void drawAxes(Svg svg) {
        int floor = HEIGHT - BOTTOM;
        for (int tick = 0; tick <= TICKS; tick++) {
            double value = greatest() * tick / TICKS;
            double y = vertical(value);
            svg.line(LEFT, y, WIDTH - RIGHT, y, tick == 0 ? "#333" : "#ddd", 1);
            svg.text(LEFT - 6, y + 4, 11, "end", Figure.write(value));
        }
        svg.line(LEFT, TOP, LEFT, floor, "#333", 1);
        for (int place = 0; place < places.size(); place++) {
            int drop = place % 2 == 0 ? 18 : 34;
            svg.text(horizontal(place), floor + drop, 11, "middle", places.get(place));
        }
    }

    private double slotWidth() {
        return (double) (WIDTH - LEFT - RIGHT) / places.size();
    }

    private double horizontal(int place) {
        return LEFT + (place + 0.5) * slotWidth();
    }

    private double vertical(double value) {
        double floor = HEIGHT - BOTTOM;
        return floor - (floor - TOP) * value / greatest();
    }

    /** Returns the upper end of the vertical axis: a round number above all values. */
    private double greatest() {
        double most = series.stream().mapToDouble(Series::greatest).max().orElse(0);
        if (most <= 0) {
            return 1;
        }
        double unitStep = Math.pow(10, Math.floor(Math.log10(most)));
        return Math.ceil(most / unitStep * 2) / 2 * unitStep;
    }

    private static String colour(int index) {
        return COLOURS.get(index % COLOURS.size());
    }
}
