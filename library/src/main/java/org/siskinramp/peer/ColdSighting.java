package org.siskinramp.peer;

/**
 * Tells the judge of a backend server that it was seen to start anew or to refuse connections.
 *
 * @param backendServer the backend server
 * @param bootIdentity the boot identity that was seen, or an empty string
 */
public record ColdSighting(String backendServer, String bootIdentity) implements PeerMessage {}
