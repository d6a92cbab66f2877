package org.siskinramp.standin.server;

/**
 * Holds the body of a backend server's answer, by which a caller knows its own.
 *
 * @param server the server that ran the request
 * @param caller the caller's name
 * @param requestId the request's identifier
 * @param digest the SHA-256 digest of the request's body in hexadecimal
 * @param attempt the attempt, as the entry host named it
 */
public record RunAnswer(
        String server, String caller, String requestId, String digest, String attempt) {

    /**
     * Tells whether this answers a request.
     *
     * @param otherCaller the caller's name
     * @param otherRequestId the request's identifier
     * @param content the request's body
     * @return true if all three agree
     */
    public boolean answers(String otherCaller, String otherRequestId, byte[] content) {
        return otherCaller.equals(caller)
                && otherRequestId.equals(requestId)
                && Work.digestOf(content).equals(digest);
    }
}
