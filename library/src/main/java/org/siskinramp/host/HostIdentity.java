package org.siskinramp.host;

/**
 * Identifies one process of an entry host.
 *
 * @param name the host's name
 * @param availabilityZone the host's availability zone
 * @param incarnation an identifier that no earlier process of this host has used
 */
public record HostIdentity(String name, String availabilityZone, String incarnation) {}
