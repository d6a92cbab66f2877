package org.siskinramp.daemon.commandline;

import java.io.PrintStream;

/**
 * Holds the streams that a command prints to.
 *
 * @param output the stream for results
 * @param errors the stream for refusals and failures
 */
record Console(PrintStream output, PrintStream errors) {}
