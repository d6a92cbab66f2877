package org.siskinramp.standin.server;

/**
 * The body of a backend server's answer, from which a caller sees to which request it belongs.
 *
 * @param server the server that ran the request
 * @param caller the caller's name
 * @param requestId the request's identifier
 * @param digest the SHA-256 digest of the request's body in hexadecimal
 * @param attempt the name that the entry host gave the attempt, empty if it gave none
 */
public record AnswerBody(
        String server, String caller, String requestId, String digest, String attempt) {

    /**
     * Tells whether this is the answer to a request.
     *
     * @param expectedCaller the caller's name
     * @param expectedRequestId the request's identifier
     * @param content the request's body
     * @return true if all three agree
     */
    public boolean matches(String expectedCaller, String expectedRequestId, byte[] content) {
        return expectedCaller.equals(caller)
                && expectedRequestId.equals(requestId)
                && ServerRequest.digestOf(content).equals(digest);
    }
}
