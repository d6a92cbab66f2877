package org.siskinramp.daemon;

import org.siskinramp.daemon.commandline.CommandLine;
import org.siskinramp.daemon.commandline.ExitStatus;

/** The entry point of the program. */
public final class Main {

    private Main() {}

    /**
     * Runs one command and exits with its status.
     *
     * @param arguments the command and its options
     */
    public static void main(String[] arguments) {
        ExitStatus status =
                new CommandLine(EntryHostProcess::run, System.out, System.err).run(arguments);
        System.exit(status.number());
    }
}
