package org.siskinramp.membership;

/**
 * Holds the versions in the latest heartbeat of a peer.
 *
 * @param host the peer's name
 * @param viewVersion the version of its membership view
 * @param configurationVersion the version of its configuration
 * @param lastHeartbeatAgeMilliseconds time since its latest heartbeat arrived, in milliseconds
 */
public record PeerVersions(
        String host,
        long viewVersion,
        long configurationVersion,
        long lastHeartbeatAgeMilliseconds) {}
