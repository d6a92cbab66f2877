package org.siskinramp.daemon.administration.query;

/** Says what became of a request. */
public enum RequestVerdict {
    /** It certainly did not run. */
    DID_NOT_RUN("did not run"),
    /** It ran once. */
    RAN_ONCE("ran once"),
    /** It is idempotent and ran, perhaps on more than one attempt. */
    RAN("ran"),
    /** It is idempotent and was sent, but no answer proves that it ran. */
    MAY_HAVE_RUN_IDEMPOTENT("may have run, perhaps more than once"),
    /** It is in progress. */
    IN_PROGRESS("is in progress"),
    /** Its outcome is not known. */
    MAY_HAVE_RUN("may have run, at most once"),
    /** Nothing is known of it. */
    NO_RECORD("has no record");

    private final String words;

    RequestVerdict(String words) {
        this.words = words;
    }

    /**
     * Returns the words for people.
     *
     * @return a predicate, such as {@code ran once}
     */
    public String words() {
        return words;
    }
}
