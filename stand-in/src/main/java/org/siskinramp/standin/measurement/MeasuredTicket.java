package org.siskinramp.standin.measurement;

import java.util.ArrayList;
import java.util.List;

/**
 * The change ticket that puts a deployment into service.
 *
 * @param number the ticket's number
 * @param services the services
 * @param availabilityZones the availability zones
 * @param hosts the hosts of the backend servers
 * @param backendServers the backend servers
 */
record MeasuredTicket(
        long number,
        List<MeasuredService> services,
        List<Place> availabilityZones,
        List<Place> hosts,
        List<Server> backendServers) {

    private static final int COLD_SLOTS = 1;

    static MeasuredTicket of(Deployment deployment, List<String> serverAddresses) {
        List<Place> hosts = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        for (int index = 0; index < serverAddresses.size(); index++) {
            Place host = new Place("server-host-" + (index + 1), "in");
            hosts.add(host);
            servers.add(
                    new Server(
                            "server-" + (index + 1),
                            deployment.serviceOf(index, serverAddresses.size()).name(),
                            host.name(),
                            deployment.availabilityZoneOf(index),
                            serverAddresses.get(index),
                            deployment.slots(),
                            COLD_SLOTS,
                            "in"));
        }
        List<Place> zones =
                deployment.availabilityZones().stream().map(name -> new Place(name, "in")).toList();
        return new MeasuredTicket(1, deployment.services(), zones, hosts, servers);
    }

    /**
     * An availability zone or a host.
     *
     * @param name the name
     * @param state its administrative state, {@code in} or {@code out}
     */
    record Place(String name, String state) {}

    /**
     * A backend server.
     *
     * @param name the name
     * @param service its service
     * @param host its host
     * @param availabilityZone its availability zone
     * @param address its address
     * @param slots how many requests it runs concurrently
     * @param coldSlots how many requests it can run concurrently while cold
     * @param state its administrative state, {@code in} or {@code out}
     */
    record Server(
            String name,
            String service,
            String host,
            String availabilityZone,
            String address,
            int slots,
            int coldSlots,
            String state) {}
}
