package org.siskinramp.standin.measurement.report;

import java.util.Locale;

/** Writes an SVG document of simple shapes. */
final class Svg {

    private final StringBuilder content = new StringBuilder();

    Svg(int width, int height) {
        add(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" viewBox=\"0 0"
                        + " %d %d\" font-family=\"sans-serif\">",
                width, height, width, height);
        rectangle(0, 0, width, height, "#fff");
    }

    void rectangle(double left, double top, double width, double height, String colour) {
        add(
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                left, top, width, height, colour);
    }

    void line(double fromX, double fromY, double toX, double toY, String colour, int width) {
        add(
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\""
                        + " stroke-width=\"%d\"/>",
                fromX, fromY, toX, toY, colour, width);
    }

    void circle(double x, double y, double radius, String colour) {
        add("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%.1f\" fill=\"%s\"/>", x, y, radius, colour);
    }

    void text(double x, double y, int size, String anchor, String string) {
        add(
                "<text x=\"%.1f\" y=\"%.1f\" font-size=\"%d\" text-anchor=\"%s\">%s</text>",
                x, y, size, anchor, escape(string));
    }

    String toText() {
        return content + "</svg>\n";
    }

    private void add(String format, Object... values) {
        content.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private static String escape(String string) {
        return string.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
