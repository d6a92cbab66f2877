package org.siskinramp.standin.measurement.report;

/**
 * A chart of the report as an SVG document.
 *
 * @param fileName the name of its file
 * @param title the title of the chart
 * @param content the text of the document
 */
record RenderedChart(String fileName, String title, String content) {}
