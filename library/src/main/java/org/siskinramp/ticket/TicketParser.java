package org.siskinramp.ticket;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Location;
import org.siskinramp.configuration.Service;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Reads tickets from JSON. */
final class TicketParser {

    private static final long LONGEST_TIME_LIMIT_MILLISECONDS = 600_000;
    private static final long DEFAULT_TIME_LIMIT_MILLISECONDS = 2_000;
    private static final long GREATEST_QUEUE_LIMIT = 100_000;
    private static final long DEFAULT_QUEUE_LIMIT = 200;
    private static final long MOST_SLOTS = 1_000;
    private static final long GREATEST_WEIGHT = 1_000_000;
    private static final int MOST_OBJECTS = 490;
    private static final int LONGEST_PATH = 1_000;

    private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+");
    private static final Pattern METHOD = Pattern.compile("\\*|[A-Z]{1,32}");
    private static final Pattern STATE = Pattern.compile("in|out|removed");
    private static final Pattern ANY = Pattern.compile("(?s).*");

    private static final Set<String> TICKET_KEYS =
            Set.of("number", "services", "backend_servers", "availability_zones", "hosts");
    private static final Set<String> SERVICE_KEYS =
            Set.of("name", "path_prefix", "time_limit_ms", "queue_limit", "kinds", "state");
    private static final Set<String> KIND_KEYS =
            Set.of("name", "method", "path_prefix", "idempotent", "weight");
    private static final Set<String> SERVER_KEYS =
            Set.of(
                    "name",
                    "service",
                    "host",
                    "availability_zone",
                    "address",
                    "slots",
                    "cold_slots",
                    "state");
    private static final Set<String> PLACE_KEYS = Set.of("name", "state");

    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private final Faults faults = new Faults();

    private TicketParser() {}

    static Ticket parse(String json) {
        return new TicketParser().readTicket(tree(json));
    }

    /** Reads stored objects, of which there may be more than a ticket holds. */
    static Ticket parseStored(JsonNode json) {
        try {
            return new TicketParser().read(json);
        } catch (ResultException failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "stored objects are malformed", failure);
        }
    }

    private static JsonNode tree(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException failure) {
            throw new ResultException(
                    ResultCode.TICKET_INVALID, "$: must be JSON: " + failure.getOriginalMessage());
        }
    }

    private Ticket readTicket(JsonNode json) {
        Ticket ticket = read(json);
        int objects = TicketRows.objectsOf(ticket).size();
        if (objects < 1 || objects > MOST_OBJECTS) {
            faults.add("$", "must hold 1 to " + MOST_OBJECTS + " objects, but holds " + objects);
        }
        faults.throwIfAny();
        return ticket;
    }

    private Ticket read(JsonNode json) {
        JsonFields fields = new JsonFields(json, "$", faults, TICKET_KEYS);
        Ticket ticket =
                new Ticket(
                        fields.number("number", 1, Long.MAX_VALUE),
                        fields.list("services", this::service, SERVICE_KEYS),
                        fields.list("backend_servers", this::backendServer, SERVER_KEYS),
                        fields.list("availability_zones", this::place, PLACE_KEYS),
                        fields.list("hosts", this::place, PLACE_KEYS));
        requireUnique("$.services", ticket.services().stream().map(Service::name).toList());
        requireUnique(
                "$.backend_servers",
                ticket.backendServers().stream().map(BackendServer::name).toList());
        requireUnique(
                "$.availability_zones",
                ticket.availabilityZones().stream().map(Location::name).toList());
        requireUnique("$.hosts", ticket.hosts().stream().map(Location::name).toList());
        faults.throwIfAny();
        return ticket;
    }

    private void requireUnique(String path, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < names.size(); index++) {
            String name = names.get(index);
            if (!name.isEmpty() && !seen.add(name)) {
                faults.add(
                        path + "[" + index + "].name", "must be unique; " + name + " stands twice");
            }
        }
    }

    /** Reads a service. */
    private Service service(JsonFields fields) {
        String name = fields.name("name");
        List<RequestKind> kinds = fields.list("kinds", this::kind, KIND_KEYS);
        requireUnique(fields.path() + ".kinds", kinds.stream().map(RequestKind::name).toList());
        return new Service(
                name,
                path(fields),
                fields.number(
                        "time_limit_ms",
                        1,
                        LONGEST_TIME_LIMIT_MILLISECONDS,
                        DEFAULT_TIME_LIMIT_MILLISECONDS),
                (int) fields.number("queue_limit", 1, GREATEST_QUEUE_LIMIT, DEFAULT_QUEUE_LIMIT),
                kinds,
                state(fields));
    }

    private static String path(JsonFields fields) {
        String path =
                fields.text(
                        "path_prefix",
                        PATH,
                        "must be a path such as /dispatch, without / at the end");
        if (path.length() > LONGEST_PATH) {
            fields.fault("path_prefix", "must have at most " + LONGEST_PATH + " characters");
        }
        return path;
    }

    private RequestKind kind(JsonFields fields) {
        return new RequestKind(
                fields.name("name"),
                fields.text("method", METHOD, "must be an HTTP method in capitals, or *"),
                path(fields),
                fields.flag("idempotent"),
                (int) fields.number("weight", 1, GREATEST_WEIGHT, 1));
    }

    private BackendServer backendServer(JsonFields fields) {
        String text = fields.text("address", ANY, "must be ip:port");
        String address = Addresses.normalise(text).orElse("");
        if (address.isEmpty() && !text.isEmpty()) {
            fields.fault("address", "must be ip:port with a port from 1 to 65535");
        }
        int slots = (int) fields.number("slots", 1, MOST_SLOTS);
        return new BackendServer(
                fields.name("name"),
                fields.name("service"),
                fields.name("host"),
                fields.name("availability_zone"),
                address,
                slots,
                (int) fields.number("cold_slots", 1, slots, 1),
                state(fields));
    }

    private Location place(JsonFields fields) {
        return new Location(fields.name("name"), state(fields));
    }

    private static AdministrativeState state(JsonFields fields) {
        if (!fields.has("state")) {
            return AdministrativeState.IN;
        }
        String word = fields.text("state", STATE, "must be in, out or removed");
        return word.isEmpty()
                ? AdministrativeState.IN
                : AdministrativeState.valueOf(word.toUpperCase(Locale.ROOT));
    }
}
