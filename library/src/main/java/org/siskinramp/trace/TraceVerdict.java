package org.siskinramp.trace;

/** Names what the log lines of a request prove. */
public enum TraceVerdict {
    /** The request has not run and will not. */
    NOT_RUN("has not run"),
    /** The request ran exactly once. */
    RAN_ONCE("ran once"),
    /** The request ran, but the lines do not prove that it ran only once. */
    RAN("ran, once or several times"),
    /** The lines prove neither that the request ran nor that it did not. */
    UNKNOWN("may or may not have run");

    private final String description;

    TraceVerdict(String description) {
        this.description = description;
    }

    /**
     * Returns the verdict as the predicate of a sentence about the request.
     *
     * @return the predicate, such as "has not run"
     */
    public String description() {
        return description;
    }
}
