package org.siskinramp.daemon.administration.query;

/**
 * Describes how this entry host sees another one.
 *
 * @param host the other entry host
 * @param heardAgoMilliseconds how long ago its last heartbeat arrived, or -1 if none did
 * @param suspected whether it has been silent for a lease term or longer
 * @param configurationVersion the configuration that it last said it acts on
 */
public record PeerStatus(
        String host, long heardAgoMilliseconds, boolean suspected, long configurationVersion) {}
