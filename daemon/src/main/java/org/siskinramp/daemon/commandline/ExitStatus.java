package org.siskinramp.daemon.commandline;

/** Names the exit statuses of the program. */
public enum ExitStatus {
    /** The command was carried out. */
    SUCCESS(0),
    /** The command was refused or failed. */
    FAILURE(1),
    /** The command line is wrong. */
    USAGE(2);

    private final int number;

    ExitStatus(int number) {
        this.number = number;
    }

    /**
     * Returns the number that the shell sees.
     *
     * @return the exit status
     */
    public int number() {
        return number;
    }
}
