package org.siskinramp.peer;

/**
 * Asks the judge of a backend server to name it in its next heartbeats, since the sender does not
 * know which start of the server the judge means.
 *
 * @param backendServer the backend server
 */
public record AllowanceAsk(String backendServer) implements PeerMessage {}
