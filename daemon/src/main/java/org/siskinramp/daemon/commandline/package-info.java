/**
 * The command line of the one program. {@link org.siskinramp.daemon.commandline.CommandLine} is the
 * front door; each command is a class with its args4j options.
 */
package org.siskinramp.daemon.commandline;
