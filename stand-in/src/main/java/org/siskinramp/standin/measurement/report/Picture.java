package org.siskinramp.standin.measurement.report;

/**
 * Holds a picture of the report.
 *
 * @param fileName the name of its file
 * @param title what it shows
 * @param content its SVG text
 */
record Picture(String fileName, String title, String content) {}
