package org.siskinramp.membership;

/**
 * Says which versions a peer acted on when it was last heard.
 *
 * @param host the peer's name
 * @param viewVersion its membership version
 * @param configurationVersion its configuration version
 * @param ageMilliseconds how long ago it was heard, in milliseconds
 */
public record PeerVersion(
        String host, long viewVersion, long configurationVersion, long ageMilliseconds) {}
