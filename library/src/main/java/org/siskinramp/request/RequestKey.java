package org.siskinramp.request;

/**
 * Identifies a request: all copies of it have the same caller and identifier.
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
