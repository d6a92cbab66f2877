package org.siskinramp.request;

/**
 * Identifies a request: requests with the same caller and identifier are copies of the same one.
 *
 * @param caller the caller's name
 * @param requestId the identifier that the caller chose
 */
public record RequestKey(String caller, String requestId) {

    @Override
    public String toString() {
        return caller + "/" + requestId;
    }
}
