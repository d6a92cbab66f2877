package org.siskinramp.peer;

/**
 * Asks a host to tell what it reads of the platform's tables. It is repeated while the sender wants
 * to be told.
 *
 * @param address where the sender hears other hosts, as {@code ip:port}
 * @param version the version up to which the sender knows the backend servers
 */
public record FeedAsk(String address, long version) implements PeerMessage {}
