package org.siskinramp.daemon.administration.query;

/**
 * What this entry host knows about another one.
 *
 * @param host the name of the other entry host
 * @param heardAgoMilliseconds the age of its last heartbeat, or -1 if none has arrived
 * @param suspected whether no heartbeat has arrived for a lease term
 * @param configurationVersion the configuration version that its last heartbeat reported
 */
public record PeerStatus(
        String host, long heardAgoMilliseconds, boolean suspected, long configurationVersion) {}
