package org.siskinramp.daemon.commandline;

/** The exit statuses of the program. */
public enum ExitStatus {
    /** The command succeeded. */
    SUCCESS(0),
    /** The command was refused or failed. */
    FAILURE(1),
    /** The command line is invalid. */
    USAGE(2);

    private final int number;

    ExitStatus(int number) {
        this.number = number;
    }

    /**
     * Returns the status as a number.
     *
     * @return the exit status of the process
     */
    public int number() {
        return number;
    }
}
