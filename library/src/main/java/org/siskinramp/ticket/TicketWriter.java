package org.siskinramp.ticket;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Location;
import org.siskinramp.configuration.Service;
import org.siskinramp.request.RequestKind;

/** Serialises tickets and their objects as JSON, with explicit values for all defaults. */
final class TicketWriter {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TicketWriter() {}

    static ObjectNode write(Ticket ticket) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("number", ticket.number());
        ArrayNode services = json.putArray("services");
        ticket.services().forEach(service -> services.add(write(service)));
        ArrayNode servers = json.putArray("backend_servers");
        ticket.backendServers().forEach(server -> servers.add(write(server)));
        ArrayNode zones = json.putArray("availability_zones");
        ticket.availabilityZones().forEach(location -> zones.add(write(location)));
        ArrayNode hosts = json.putArray("hosts");
        ticket.hosts().forEach(location -> hosts.add(write(location)));
        return json;
    }

    static ObjectNode write(Service service) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("name", service.name());
        json.put("path_prefix", service.pathPrefix());
        json.put("time_limit_ms", service.timeLimitMilliseconds());
        json.put("queue_limit", service.queueLimit());
        ArrayNode kinds = json.putArray("kinds");
        service.kinds().forEach(kind -> kinds.add(write(kind)));
        json.put("state", service.state().label());
        return json;
    }

    private static ObjectNode write(RequestKind kind) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("name", kind.name());
        json.put("method", kind.method());
        json.put("path_prefix", kind.pathPrefix());
        json.put("idempotent", kind.idempotent());
        json.put("weight", kind.weight());
        return json;
    }

    static ObjectNode write(BackendServer server) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("name", server.name());
        json.put("service", server.service());
        json.put("host", server.host());
        json.put("availability_zone", server.availabilityZone());
        json.put("address", server.address());
        json.put("slots", server.slots());
        json.put("cold_slots", server.coldSlots());
        json.put("state", server.state().label());
        return json;
    }

    static ObjectNode write(Location location) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("name", location.name());
        json.put("state", location.state().label());
        return json;
    }
}
