package org.siskinramp.daemon.commandline;

import java.io.PrintStream;

/**
 * Holds the two streams of a command.
 *
 * @param output where results go
 * @param errors where refusals and failures go
 */
record Console(PrintStream output, PrintStream errors) {}
