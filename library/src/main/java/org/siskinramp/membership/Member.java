package org.siskinramp.membership;

/**
 * Describes an entry host in a membership view.
 *
 * @param name the host's name
 * @param availabilityZone its availability zone
 * @param peerAddress address and port on which it accepts peer links, as {@code ip:port}
 */
public record Member(String name, String availabilityZone, String peerAddress) {}
