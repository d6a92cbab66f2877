package org.siskinramp.peer;

/**
 * Tells that a newer configuration is in the table service, so that the receiver reads it at once.
 *
 * @param version the newest version that the sender knows
 */
public record ConfigurationNotice(long version) implements PeerMessage {}
