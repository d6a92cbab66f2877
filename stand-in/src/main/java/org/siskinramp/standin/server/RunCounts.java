package org.siskinramp.standin.server;

import java.util.List;

/**
 * The run counts of all requests that a server ran.
 *
 * @param runs the counts
 */
public record RunCounts(List<RunCount> runs) {}
