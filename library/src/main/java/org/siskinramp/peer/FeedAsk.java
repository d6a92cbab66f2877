package org.siskinramp.peer;

/**
 * Subscribes the sender to updates of the platform's tables, which the receiver reads. The sender
 * repeats this message to renew the subscription.
 *
 * @param address the address on which the sender accepts messages of other hosts, as {@code
 *     ip:port}
 * @param serversVersion the version of the sender's copy of the servers table, -1 if it has none
 */
public record FeedAsk(String address, long serversVersion) implements PeerMessage {}
