package org.siskinramp.daemon.administration.query;

import java.util.List;

/**
 * The status of an entry host.
 *
 * @param host its name
 * @param availabilityZone its availability zone
 * @param incarnation an identifier that changes whenever it restarts
 * @param ready whether it accepts new requests
 * @param authority whether it has authority, which it needs to use its slots
 * @param configurationVersion the configuration version that is in force on it
 * @param viewVersion the version of its membership view
 * @param requestsInProgress the number of requests in progress, including waiting ones
 * @param peers what it knows about the other entry hosts
 * @param services the load of each service
 */
public record HostStatus(
        String host,
        String availabilityZone,
        String incarnation,
        boolean ready,
        boolean authority,
        long configurationVersion,
        long viewVersion,
        int requestsInProgress,
        List<PeerStatus> peers,
        List<ServiceStatus> services) {

    /**
     * Copies the lists so that the status cannot change.
     *
     * @param host its name
     * @param availabilityZone its availability zone
     * @param incarnation its incarnation
     * @param ready whether it accepts new requests
     * @param authority whether it has authority
     * @param configurationVersion the configuration version
     * @param viewVersion the version of its membership view
     * @param requestsInProgress the number of requests in progress
     * @param peers the other entry hosts
     * @param services the load of each service
     */
    public HostStatus {
        peers = List.copyOf(peers);
        services = List.copyOf(services);
    }
}
