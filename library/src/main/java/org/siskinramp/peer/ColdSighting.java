package org.siskinramp.peer;

/**
 * Informs the warm-up coordinator of a backend server that the server restarted or refused
 * connections.
 *
 * @param backendServer the backend server
 * @param bootIdentity the boot identity of the new server process, or an empty string if unknown
 */
public record ColdSighting(String backendServer, String bootIdentity) implements PeerMessage {}
