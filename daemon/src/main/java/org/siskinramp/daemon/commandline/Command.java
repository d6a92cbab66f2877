package org.siskinramp.daemon.commandline;

import org.kohsuke.args4j.Option;

/** Is a command with its options, which args4j fills in. */
abstract class Command {

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    final boolean isHelpWanted() {
        return help;
    }

    /**
     * Runs the command.
     *
     * @param console where it prints
     * @return how it ended; refusals are thrown as {@link org.siskinramp.result.ResultException}
     */
    abstract ExitStatus run(Console console);
}
