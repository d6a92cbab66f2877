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

/** Checks a ticket against the configuration that it would change. */
final class TicketChecks {

    private TicketChecks() {}

    /** Puts the objects of a ticket into a new configuration. */
    static Configuration put(Ticket ticket, Configuration.Builder builder) {
        ticket.services().forEach(builder::service);
        ticket.backendServers().forEach(builder::backendServer);
        ticket.availabilityZones().forEach(builder::availabilityZone);
        ticket.hosts().forEach(builder::host);
        return builder.build();
    }

    /**
     * Checks that the configuration stays whole.
     *
     * @throws ResultException with {@code TICKET_INVALID} and all faults
     */
    static void check(Ticket ticket, Configuration base) {
        Configuration next = put(ticket, base.toBuilder(base.version() + 1));
        Faults faults = new Faults();
        List<String> servers = ticket.backendServers().stream().map(BackendServer::name).toList();
        List<String> services = ticket.services().stream().map(Service::name).toList();
        for (BackendServer server : next.backendServers()) {
            if (next.service(server.service()).isEmpty()) {
                faults.add(
                        path("backend_servers", servers, server.name()) + ".service",
                        "must be a service of the configuration; backend server "
                                + server.name()
                                + " names "
                                + server.service());
            }
        }
        requireDistinct(
                next.backendServers(),
                BackendServer::address,
                server -> path("backend_servers", servers, server.name()) + ".address",
                faults);
        requireDistinct(
                next.services(),
                Service::pathPrefix,
                service -> path("services", services, service.name()) + ".path_prefix",
                faults);
        faults.throwIfAny();
    }

    private static <T> void requireDistinct(
            Collection<T> objects,
            Function<T, String> value,
            Function<T, String> path,
            Faults faults) {
        Map<String, T> owners = new HashMap<>();
        for (T object : objects) {
            T owner = owners.putIfAbsent(value.apply(object), object);
            if (owner != null) {
                faults.add(
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
