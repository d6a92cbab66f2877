package org.siskinramp.routing;

/**
 * Follows an attempt that has not ended.
 *
 * @param run the request
 * @param slot the slot that it occupies
 * @param server the backend server
 * @param startedAt when it started, in monotonic milliseconds
 * @param bootIdentity the start of the server that was known then, or an empty string
 */
record OpenAttempt(
        RequestRun run, Slot slot, ServerState server, long startedAt, String bootIdentity) {

    OpenAttempt(RequestRun run, Slot slot, ServerState server, long startedAt) {
        this(run, slot, server, startedAt, server.warmth().bootIdentity());
    }

    /** Tells whether the server is known to have started anew since this attempt began. */
    boolean outlivedServer() {
        return !bootIdentity.isEmpty() && !bootIdentity.equals(server.warmth().bootIdentity());
    }
}
