package org.siskinramp.standin.measurement.report;

/**
 * Says where the figures of a report come from.
 *
 * @param command the command that gave them
 * @param commit the commit that was measured
 * @param machine the machine and its load
 * @param note what a reader must know of the figures
 */
public record ReportHead(String command, String commit, String machine, String note) {}
