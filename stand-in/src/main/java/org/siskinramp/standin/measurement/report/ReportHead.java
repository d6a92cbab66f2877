package org.siskinramp.standin.measurement.report;

/**
 * The origin of the results of a report.
 *
 * @param command the command that made the runs
 * @param commit the commit that was measured
 * @param machine the machine and its load
 * @param note what a reader must know about the results, or an empty string
 */
public record ReportHead(String command, String commit, String machine, String note) {}
