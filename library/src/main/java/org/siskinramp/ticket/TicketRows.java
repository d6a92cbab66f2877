package org.siskinramp.ticket;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Defines the keys and the content of the rows of tickets and configuration objects. */
final class TicketRows {

    static final String OBJECTS_TABLE = "objects";
    static final String TICKETS_TABLE = "tickets";
    static final RowKey VERSION_ROW_KEY = new RowKey("configuration", "version");

    static final String SERVICE_KIND = "service";
    static final String BACKEND_SERVER_KIND = "backend-server";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TicketRows() {}

    /** Returns the key of a ticket's row. */
    static RowKey ticketRowKey(long number) {
        return new RowKey(TICKETS_TABLE, ticketKey(number));
    }

    /** Pads the number with zeros, so that the order of the keys is that of the numbers. */
    static String ticketKey(long number) {
        return String.format(Locale.ROOT, "%019d", number);
    }

    static RowKey objectRowKey(String kind, String name) {
        return new RowKey(OBJECTS_TABLE, kind + "/" + name);
    }

    static String writeObject(long ticketNumber, ObjectNode content) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("ticket", ticketNumber);
        json.set("content", content);
        return json.toString();
    }

    static JsonNode readJson(Row row) {
        try {
            return MAPPER.readTree(row.value());
        } catch (JsonProcessingException failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "malformed row " + row.key(), failure);
        }
    }

    static String writeTicket(FiledTicket ticket) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("number", ticket.number());
        json.put("version", ticket.version());
        json.put("filed_at", ticket.filedCalendarMilliseconds());
        json.put("content", ticket.content());
        return json.toString();
    }

    static FiledTicket readTicket(Row row) {
        JsonNode json = readJson(row);
        return new FiledTicket(
                json.path("number").asLong(),
                json.path("version").asLong(),
                json.path("filed_at").asLong(),
                json.path("content").asText());
    }

    /** Returns the objects of a ticket as JSON, by the keys of their rows. */
    static Map<RowKey, ObjectNode> objectsOf(Ticket ticket) {
        Map<RowKey, ObjectNode> objects = new LinkedHashMap<>();
        ticket.services()
                .forEach(
                        service ->
                                objects.put(
                                        objectRowKey(SERVICE_KIND, service.name()),
                                        TicketWriter.write(service)));
        ticket.backendServers()
                .forEach(
                        server ->
                                objects.put(
                                        objectRowKey(BACKEND_SERVER_KIND, server.name()),
                                        TicketWriter.write(server)));
        ticket.availabilityZones()
                .forEach(
                        location ->
                                objects.put(
                                        objectRowKey(
                                                LocationKind.AVAILABILITY_ZONE.label(),
                                                location.name()),
                                        TicketWriter.write(location)));
        ticket.hosts()
                .forEach(
                        location ->
                                objects.put(
                                        objectRowKey(LocationKind.HOST.label(), location.name()),
                                        TicketWriter.write(location)));
        return objects;
    }
}
