package org.siskinramp.peer;

/**
 * Asks a host with a newer configuration for the changes since a version.
 *
 * @param version the configuration version that the sender has in force
 */
public record ConfigurationAsk(long version) implements PeerMessage {}
