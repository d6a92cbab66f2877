package org.siskinramp.trace;

/** Says what log lines prove of a request. */
public enum TraceVerdict {
    /** The request has not run and will not. */
    NOT_RUN("has not run"),
    /** The request ran exactly once. */
    RAN_ONCE("ran once"),
    /** The request ran; the lines do not prove that it ran only once. */
    RAN("ran, once or several times"),
    /** The lines prove neither that it ran nor that it did not. */
    UNKNOWN("may or may not have run");

    private final String words;

    TraceVerdict(String words) {
        this.words = words;
    }

    /**
     * Returns the verdict as it follows the request in a sentence.
     *
     * @return the words
     */
    public String words() {
        return words;
    }
}
