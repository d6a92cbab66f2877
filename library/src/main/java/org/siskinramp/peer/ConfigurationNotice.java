package org.siskinramp.peer;

/**
 * Announces a newer configuration in the table service, so that the receiver reads it at once.
 *
 * @param version the newest configuration version that the sender knows
 */
public record ConfigurationNotice(long version) implements PeerMessage {}
