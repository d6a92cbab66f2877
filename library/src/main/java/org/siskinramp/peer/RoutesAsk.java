package org.siskinramp.peer;

/**
 * Asks a host for a snapshot of the operator table, since the sender cannot read it from the store.
 * Snapshots with many routes are sent only in answer to this message.
 *
 * @param operatorVersion the version of the sender's copy of the operator table, -1 if it has none
 */
public record RoutesAsk(long operatorVersion) implements PeerMessage {}
