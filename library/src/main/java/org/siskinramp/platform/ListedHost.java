package org.siskinramp.platform;

/**
 * Describes an entry host in the platform's host list, which may be out of date.
 *
 * @param name the host's name
 * @param availabilityZone the host's availability zone
 * @param peerAddress the address and port of the host's peer link, as {@code ip:port}
 * @param leaving whether the platform is about to stop the host
 */
public record ListedHost(
        String name, String availabilityZone, String peerAddress, boolean leaving) {}
