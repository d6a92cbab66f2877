package org.siskinramp.relay;

/**
 * Holds what a host published of itself.
 *
 * @param name its unique name
 * @param availabilityZone its availability zone
 * @param address where it hears other hosts, as {@code ip:port}
 */
public record HostEntry(String name, String availabilityZone, String address) {}
