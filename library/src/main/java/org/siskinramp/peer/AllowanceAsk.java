package org.siskinramp.peer;

/**
 * Asks the warm-up coordinator of a backend server to include the server in its next heartbeats,
 * since the sender does not know to which process of the server the last allowance applies.
 *
 * @param backendServer the backend server
 */
public record AllowanceAsk(String backendServer) implements PeerMessage {}
