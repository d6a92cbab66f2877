package org.siskinramp.peer;

/**
 * Tells that backend servers stopped while they ran a request.
 *
 * @param contentHash the hash of the request
 * @param backendServer the server that stopped
 * @param stops how many stops the sender knows of; 0 if a connection broke and it is not known
 *     whether the server stopped
 */
public record SuspectRequest(String contentHash, String backendServer, int stops)
        implements PeerMessage {}
