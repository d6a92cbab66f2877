package org.siskinramp.ticket;

import java.util.List;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Location;
import org.siskinramp.configuration.Service;
import org.siskinramp.result.ResultException;

/**
 * A change ticket: a numbered request of an operator to change the configuration. It contains the
 * complete new state of every object that it changes.
 *
 * @param number the number, one or more
 * @param services the services
 * @param backendServers the backend servers
 * @param availabilityZones the availability zones
 * @param hosts the hosts
 */
public record Ticket(
        long number,
        List<Service> services,
        List<BackendServer> backendServers,
        List<Location> availabilityZones,
        List<Location> hosts) {

    /**
     * Copies the lists so that the ticket cannot change.
     *
     * @param number the number
     * @param services the services
     * @param backendServers the backend servers
     * @param availabilityZones the availability zones
     * @param hosts the hosts
     */
    public Ticket {
        services = List.copyOf(services);
        backendServers = List.copyOf(backendServers);
        availabilityZones = List.copyOf(availabilityZones);
        hosts = List.copyOf(hosts);
    }

    /**
     * Parses a ticket and makes all checks that do not depend on the current configuration.
     *
     * @param json the ticket as JSON text
     * @return the ticket
     * @throws ResultException with {@code TICKET_INVALID} and all errors, each with its JSON path
     */
    public static Ticket parse(String json) {
        return TicketParser.parse(json);
    }
}
