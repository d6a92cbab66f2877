package org.siskinramp.standin.server;

import java.util.List;

/**
 * Holds the run counts of many requests.
 *
 * @param runs the counts
 */
public record Runs(List<RunCount> runs) {}
