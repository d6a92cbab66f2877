package org.siskinramp.daemon.administration.query;

import java.util.List;

/**
 * Describes an entry host.
 *
 * @param host its name
 * @param availabilityZone its availability zone
 * @param incarnation an identifier that changes whenever it starts anew
 * @param ready whether it takes new requests
 * @param authority whether it may use the slots that it holds
 * @param configurationVersion the configuration that it acts on
 * @param viewVersion the membership version that it acts on
 * @param requestsInProgress requests that have not ended, waiting ones too
 * @param peers the other entry hosts
 * @param services the work of each service
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
     * @param ready whether it takes new requests
     * @param authority whether it may use its slots
     * @param configurationVersion the configuration version
     * @param viewVersion the membership version
     * @param requestsInProgress requests that have not ended
     * @param peers the other entry hosts
     * @param services the work of each service
     */
    public HostStatus {
        peers = List.copyOf(peers);
        services = List.copyOf(services);
    }
}
