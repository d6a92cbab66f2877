package org.siskinramp.peer;

/**
 * Reports that backend servers crashed, or may have crashed, while they ran a request.
 *
 * @param contentHash the hash of the content of the request
 * @param backendServer the server that crashed
 * @param crashCount the number of crashes known to the sender; 0 if a connection broke and it is
 *     unknown whether the server crashed
 */
public record SuspectRequest(String contentHash, String backendServer, int crashCount)
        implements PeerMessage {}
