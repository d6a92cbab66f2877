package org.siskinramp.peer;

/**
 * Asks a host that acts on a newer configuration for the changes behind a version.
 *
 * @param version the version that the sender acts on
 */
public record ConfigurationAsk(long version) implements PeerMessage {}
