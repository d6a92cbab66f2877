package org.siskinramp.attempt;

/** Says why an attempt ended without a whole answer. */
public enum AttemptFailure {
    /** The permission had lapsed, so nothing was sent. */
    NOT_PERMITTED(true, false),
    /** No connection could be opened: nobody listens. */
    CONNECTION_REFUSED(true, true),
    /** No connection was opened in time. */
    CONNECTION_TIMED_OUT(true, false),
    /** The server said that it did not run the request because it is full. */
    SHED(true, false),
    /** The server said that it did not run the request because it is leaving. */
    LEAVING(true, false),
    /** The connection broke after the first byte was sent. */
    CONNECTION_BROKEN(false, true),
    /** The body of the answer ended early. */
    ANSWER_INCOMPLETE(false, false),
    /** The answer names another request. */
    ANSWER_CROSSED(false, false),
    /** The answer is larger than the limit. */
    ANSWER_TOO_LARGE(false, false),
    /** No whole answer came before the deadline. */
    TIMED_OUT(false, false),
    /** The attempt was cancelled by this host. */
    CANCELLED(false, false);

    private final boolean notRun;
    private final boolean sudden;

    AttemptFailure(boolean notRun, boolean sudden) {
        this.notRun = notRun;
        this.sudden = sudden;
    }

    /**
     * Tells whether the request certainly did not run.
     *
     * @return true if it did not run
     */
    public boolean isNotRun() {
        return notRun;
    }

    /**
     * Tells whether the failure suggests that the server's process has ended.
     *
     * @return true if the server may have stopped
     */
    public boolean suggestsServerStopped() {
        return sudden;
    }
}
