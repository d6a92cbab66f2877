package org.siskinramp.peer;

/**
 * Tells that backend servers stopped while they ran a request.
 *
 * @param contentHash the hash of the request
 * @param backendServer the server that stopped
 * @param stops how many stops the sender knows of
 */
public record SuspectRequest(String contentHash, String backendServer, int stops)
        implements PeerMessage {}
