package org.siskinramp.configuration;

/**
 * Describes a backend server.
 *
 * @param name its unique name
 * @param service the name of its service
 * @param host the host that it runs on
 * @param availabilityZone its availability zone
 * @param address its address and port, as {@code ip:port}
 * @param slots its concurrency limit when warm, one or more
 * @param coldSlots its concurrency limit when cold, from one to {@code slots}
 * @param state whether it takes new work
 */
public record BackendServer(
        String name,
        String service,
        String host,
        String availabilityZone,
        String address,
        int slots,
        int coldSlots,
        AdministrativeState state) {}
