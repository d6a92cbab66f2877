package org.siskinramp.peer;

/**
 * Asks a host to tell all that operators set, however many routes there are, since the sender
 * cannot read them from the platform's table.
 *
 * @param version the version up to which the sender knows the operator's table, -1 for nothing
 */
public record RoutesAsk(long version) implements PeerMessage {}
