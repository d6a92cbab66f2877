package org.siskinramp.standin.command;

import org.siskinramp.log.EventLog;

/** A sub-command, whose options are set by args4j. */
public interface StandInCommand {

    /**
     * Runs the command. Commands that start servers run until the process is terminated.
     *
     * @param output receives the results, one event each
     * @return the exit status of the process
     */
    int run(EventLog output);
}
