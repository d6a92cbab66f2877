package org.siskinramp.relay;

/**
 * The entry that a host publishes in the hosts table.
 *
 * @param name the unique name of the host
 * @param availabilityZone its availability zone
 * @param address the address on which it accepts messages of other hosts, as {@code ip:port}
 */
public record HostEntry(String name, String availabilityZone, String address) {}
