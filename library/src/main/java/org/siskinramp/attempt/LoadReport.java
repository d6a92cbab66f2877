package org.siskinramp.attempt;

/**
 * Holds what a backend server says of itself in an answer or a probe. It may lag or mislead.
 *
 * @param bootIdentity an identifier that changes whenever the server starts anew, or an empty
 *     string if the server gave none
 * @param requestsInProgress how many requests it says it is running, or -1 if it did not say
 * @param leaving whether it says that it is draining
 */
public record LoadReport(String bootIdentity, int requestsInProgress, boolean leaving) {

    /** The report of a server that said nothing. */
    public static final LoadReport NONE = new LoadReport("", -1, false);
}
