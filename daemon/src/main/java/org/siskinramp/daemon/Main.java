package org.siskinramp.daemon;

import org.siskinramp.daemon.commandline.CommandLine;
import org.siskinramp.daemon.commandline.ExitStatus;

/** Starts the program. */
public final class Main {

    private Main() {}

    /**
     * Runs one command of the program and ends with its exit status.
     *
     * @param arguments the words of the command line
     */
    public static void main(String[] arguments) {
        ExitStatus status =
                new CommandLine(EntryHostProcess::run, System.out, System.err).run(arguments);
        System.exit(status.number());
    }
}
