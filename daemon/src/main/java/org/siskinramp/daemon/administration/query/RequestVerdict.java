package org.siskinramp.daemon.administration.query;

/** Whether a request ran, as far as the records show. */
public enum RequestVerdict {
    /** It certainly did not run. */
    DID_NOT_RUN("did not run"),
    /** It ran once. */
    RAN_ONCE("ran once"),
    /** It is idempotent and ran, possibly more than once because of several attempts. */
    RAN("ran"),
    /** It is idempotent and was sent to a backend server, but no answer proves that it ran. */
    MAY_HAVE_RUN_IDEMPOTENT("may have run, perhaps more than once"),
    /** It is in progress. */
    IN_PROGRESS("is in progress"),
    /** It may have run, but at most once; its outcome is not known. */
    MAY_HAVE_RUN("may have run, at most once"),
    /** There is no record of it. */
    NO_RECORD("has no record");

    private final String description;

    RequestVerdict(String description) {
        this.description = description;
    }

    /**
     * Returns a human-readable description.
     *
     * @return the predicate of a sentence about the request, such as {@code ran once}
     */
    public String description() {
        return description;
    }
}
