package org.siskinramp.standin.server;

/**
 * The number of times that a server started to run a request.
 *
 * @param caller the caller's name
 * @param requestId the request's identifier
 * @param idempotent whether the method is GET or HEAD
 * @param runs how often the server started to run it
 */
public record RunCount(String caller, String requestId, boolean idempotent, int runs) {

    RunCount incremented() {
        return new RunCount(caller, requestId, idempotent, runs + 1);
    }
}
