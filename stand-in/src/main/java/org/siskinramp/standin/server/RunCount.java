package org.siskinramp.standin.server;

/**
 * Tells how often a server began to run a request.
 *
 * @param caller the caller's name
 * @param requestId the request's identifier
 * @param idempotent whether the method is GET or HEAD
 * @param runs how often it began to run
 */
public record RunCount(String caller, String requestId, boolean idempotent, int runs) {

    RunCount oneMore() {
        return new RunCount(caller, requestId, idempotent, runs + 1);
    }
}
