/**
 * The command line of the program. {@link org.siskinramp.daemon.commandline.CommandLine} is the
 * entry point; each command is a class with its args4j options.
 */
package org.siskinramp.daemon.commandline;
