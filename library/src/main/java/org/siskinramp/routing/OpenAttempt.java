package org.siskinramp.routing;

/**
 * Describes an attempt that is in progress.
 *
 * @param routed the request that it belongs to
 * @param slot the slot that it occupies
 * @param server the backend server
 * @param startedAt when it started, in monotonic milliseconds
 * @param bootIdentity the boot identity of the server that was known when the attempt started, or
 *     an empty string
 */
record OpenAttempt(
        RoutedRequest routed, Slot slot, ServerState server, long startedAt, String bootIdentity) {

    OpenAttempt(RoutedRequest routed, Slot slot, ServerState server, long startedAt) {
        this(routed, slot, server, startedAt, server.warmUp().bootIdentity());
    }

    /** Tells whether the server is known to have restarted since this attempt started. */
    boolean hasServerRestarted() {
        return !bootIdentity.isEmpty() && !bootIdentity.equals(server.warmUp().bootIdentity());
    }
}
