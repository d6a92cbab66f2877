package org.siskinramp.journal;

/**
 * Records one attempt of a request.
 *
 * @param backendServer where it was sent
 * @param result how it ended, in lower case
 * @param mayHaveRun whether the server may have run the request in this attempt
 */
public record JournalAttempt(String backendServer, String result, boolean mayHaveRun) {

    private static final String ANSWERED = "answered";

    boolean ran() {
        return result.equals(ANSWERED);
    }
}
