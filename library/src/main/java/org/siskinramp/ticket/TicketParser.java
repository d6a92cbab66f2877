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

/** Parses tickets and stored objects from JSON. */
final class TicketParser {

    private static final long MAXIMUM_TIME_LIMIT_MILLISECONDS = 600_000;
    private static final long DEFAULT_TIME_LIMIT_MILLISECONDS = 2_000;
    private static final long MAXIMUM_QUEUE_LIMIT = 100_000;
    private static final long DEFAULT_QUEUE_LIMIT = 200;
    private static final long MAXIMUM_SLOTS = 1_000;
    private static final long MAXIMUM_WEIGHT = 1_000_000;

    /** A ticket is committed in one transaction of at most 500 rows: its objects and two more. */
    private static final int MAXIMUM_OBJECTS = 490;

    private static final int MAXIMUM_PATH_CHARACTERS = 1_000;

    private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+");
    private static final Pattern METHOD = Pattern.compile("\\*|[A-Z]{1,32}");
    private static final Pattern STATE = Pattern.compile("in|out|removed");
    private static final Pattern ANY_TEXT = Pattern.compile("(?s).*");

    private static final Set<String> TICKET_KEYS =
            Set.of("number", "services", "backend_servers", "availability_zones", "hosts");
    private static final Set<String> SERVICE_KEYS =
            Set.of("name", "path_prefix", "time_limit_ms", "queue_limit", "kinds", "state");
    private static final Set<String> KIND_KEYS =
            Set.of("name", "method", "path_prefix", "idempotent", "weight");
    private static final Set<String> BACKEND_SERVER_KEYS =
            Set.of(
                    "name",
                    "service",
                    "host",
                    "availability_zone",
                    "address",
                    "slots",
                    "cold_slots",
                    "state");
    private static final Set<String> LOCATION_KEYS = Set.of("name", "state");

    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private final ValidationErrors errors = new ValidationErrors();

    private TicketParser() {}

    static Ticket parse(String json) {
        return new TicketParser().parseTicket(parseJson(json));
    }

    /**
     * Parses the objects of the stored configuration, whose number is not limited as in a ticket.
     */
    static Ticket parseStored(JsonNode json) {
        try {
            return new TicketParser().parseObjects(json);
        } catch (ResultException failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "stored objects are malformed", failure);
        }
    }

    private static JsonNode parseJson(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException failure) {
            throw new ResultException(
                    ResultCode.TICKET_INVALID, "$: must be JSON: " + failure.getOriginalMessage());
        }
    }

    private Ticket parseTicket(JsonNode json) {
        Ticket ticket = parseObjects(json);
        int objectCount = TicketRows.objectsOf(ticket).size();
        if (objectCount < 1 || objectCount > MAXIMUM_OBJECTS) {
            errors.add(
                    "$",
                    "must hold 1 to " + MAXIMUM_OBJECTS + " objects, but holds " + objectCount);
        }
        errors.throwIfAny();
        return ticket;
    }

    private Ticket parseObjects(JsonNode json) {
        JsonFields fields = new JsonFields(json, "$", errors, TICKET_KEYS);
        Ticket ticket =
                new Ticket(
                        fields.number("number", 1, Long.MAX_VALUE),
                        fields.list("services", this::service, SERVICE_KEYS),
                        fields.list("backend_servers", this::backendServer, BACKEND_SERVER_KEYS),
                        fields.list("availability_zones", this::location, LOCATION_KEYS),
                        fields.list("hosts", this::location, LOCATION_KEYS));
        requireUnique("$.services", ticket.services().stream().map(Service::name).toList());
        requireUnique(
                "$.backend_servers",
                ticket.backendServers().stream().map(BackendServer::name).toList());
        requireUnique(
                "$.availability_zones",
                ticket.availabilityZones().stream().map(Location::name).toList());
        requireUnique("$.hosts", ticket.hosts().stream().map(Location::name).toList());
        errors.throwIfAny();
        return ticket;
    }

    private void requireUnique(String path, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < names.size(); index++) {
            String name = names.get(index);
            if (!name.isEmpty() && !seen.add(name)) {
                errors.add(
                        path + "[" + index + "].name", "must be unique; " + name + " stands twice");
            }
        }
    }

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
                        MAXIMUM_TIME_LIMIT_MILLISECONDS,
                        DEFAULT_TIME_LIMIT_MILLISECONDS),
                (int) fields.number("queue_limit", 1, MAXIMUM_QUEUE_LIMIT, DEFAULT_QUEUE_LIMIT),
                kinds,
                state(fields));
    }

    private static String path(JsonFields fields) {
        String path =
                fields.text(
                        "path_prefix",
                        PATH,
                        "must be a path such as /dispatch, without / at the end");
        if (path.length() > MAXIMUM_PATH_CHARACTERS) {
            fields.addError(
                    "path_prefix", "must have at most " + MAXIMUM_PATH_CHARACTERS + " characters");
        }
        return path;
    }

    private RequestKind kind(JsonFields fields) {
        return new RequestKind(
                fields.name("name"),
                fields.text("method", METHOD, "must be an HTTP method in capitals, or *"),
                path(fields),
                fields.booleanValue("idempotent"),
                (int) fields.number("weight", 1, MAXIMUM_WEIGHT, 1));
    }

    private BackendServer backendServer(JsonFields fields) {
        String text = fields.text("address", ANY_TEXT, "must be ip:port");
        String address = Addresses.normalise(text).orElse("");
        if (address.isEmpty() && !text.isEmpty()) {
            fields.addError("address", "must be ip:port with a port from 1 to 65535");
        }
        int slots = (int) fields.number("slots", 1, MAXIMUM_SLOTS);
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

    private Location location(JsonFields fields) {
        return new Location(fields.name("name"), state(fields));
    }

    private static AdministrativeState state(JsonFields fields) {
        if (!fields.has("state")) {
            return AdministrativeState.IN;
        }
        String label = fields.text("state", STATE, "must be in, out or removed");
        return label.isEmpty()
                ? AdministrativeState.IN
                : AdministrativeState.valueOf(label.toUpperCase(Locale.ROOT));
    }
}
