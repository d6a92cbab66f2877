package org.siskinramp.daemon.commandline;

import org.kohsuke.args4j.Option;

/** A command, whose options are set by args4j. */
abstract class Command {

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    final boolean isHelpRequested() {
        return help;
    }

    /**
     * Runs the command.
     *
     * @param console the streams to print to
     * @return the exit status; refusals and failures may be thrown as {@link
     *     org.siskinramp.result.ResultException} instead
     */
    abstract ExitStatus run(Console console);
}
