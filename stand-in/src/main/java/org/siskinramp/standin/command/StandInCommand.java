package org.siskinramp.standin.command;

import org.siskinramp.log.EventLog;

/** Runs one sub-command whose options have been read. */
public interface StandInCommand {

    /**
     * Runs the command. Servers run until the process is told to stop.
     *
     * @param output where results go, one line each
     * @return the exit status of the process
     */
    int run(EventLog output);
}
