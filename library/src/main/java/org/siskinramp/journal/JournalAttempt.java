package org.siskinramp.journal;

/**
 * Describes one attempt of a request.
 *
 * @param backendServer the backend server that it was sent to
 * @param result the result of the attempt, in lower case
 * @param mayHaveRun whether the server may have run the request in this attempt
 */
public record JournalAttempt(String backendServer, String result, boolean mayHaveRun) {

    private static final String ANSWERED = "answered";

    boolean ran() {
        return result.equals(ANSWERED);
    }
}
