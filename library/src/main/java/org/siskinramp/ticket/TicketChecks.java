package org.siskinramp.ticket;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.result.ResultException;

/** Applies tickets to configurations and validates the result. */
final class TicketChecks {

    private TicketChecks() {}

    /** Applies a ticket to a configuration: adds, replaces or removes its objects. */
    static Configuration applyTicket(Ticket ticket, Configuration.Builder builder) {
        ticket.services().forEach(builder::service);
        ticket.backendServers().forEach(builder::backendServer);
        ticket.availabilityZones().forEach(builder::availabilityZone);
        ticket.hosts().forEach(builder::host);
        return builder.build();
    }

    /**
     * Checks that the configuration is consistent once the ticket is applied: each backend server
     * names an existing service, no two backend servers have the same address, and no two services
     * have the same path prefix.
     *
     * @param ticket the ticket
     * @param base the current configuration
     * @throws ResultException with {@code TICKET_INVALID} and all errors
     */
    static void check(Ticket ticket, Configuration base) {
        Configuration next = applyTicket(ticket, base.toBuilder(base.version() + 1));
        ValidationErrors errors = new ValidationErrors();
        List<String> servers = ticket.backendServers().stream().map(BackendServer::name).toList();
        List<String> services = ticket.services().stream().map(Service::name).toList();
        for (BackendServer server : next.backendServers()) {
            if (next.service(server.service()).isEmpty()) {
                errors.add(
                        path("backend_servers", servers, server.name()) + ".service",
                        "must be an existing service; backend server "
                                + server.name()
                                + " names "
                                + server.service());
            }
        }
        requireDistinct(
                next.backendServers(),
                BackendServer::address,
                server -> path("backend_servers", servers, server.name()) + ".address",
                errors);
        requireDistinct(
                next.services(),
                Service::pathPrefix,
                service -> path("services", services, service.name()) + ".path_prefix",
                errors);
        errors.throwIfAny();
    }

    private static <T> void requireDistinct(
            Collection<T> objects,
            Function<T, String> value,
            Function<T, String> path,
            ValidationErrors errors) {
        Map<String, T> owners = new HashMap<>();
        for (T object : objects) {
            T owner = owners.putIfAbsent(value.apply(object), object);
            if (owner != null) {
                errors.add(
                        path.apply(object),
                        "must differ from "
                                + path.apply(owner)
                                + "; both are "
                                + value.apply(object));
            }
        }
    }

    private static String path(String list, List<String> names, String name) {
        int index = names.indexOf(name);
        return index < 0 ? "configuration." + list + "." + name : "$." + list + "[" + index + "]";
    }
}
