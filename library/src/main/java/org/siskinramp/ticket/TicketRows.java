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

/** Names and reads the rows of tickets and of the objects that they describe. */
final class TicketRows {

    static final String OBJECTS = "objects";
    static final String TICKETS = "tickets";
    static final RowKey VERSION = new RowKey("configuration", "version");

    static final String SERVICE = "service";
    static final String BACKEND_SERVER = "backend-server";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TicketRows() {}

    /** Names the row of a ticket, so that rows in key order are tickets in number order. */
    static RowKey ticket(long number) {
        return new RowKey(TICKETS, ticketKey(number));
    }

    static String ticketKey(long number) {
        return String.format(Locale.ROOT, "%019d", number);
    }

    static RowKey object(String kind, String name) {
        return new RowKey(OBJECTS, kind + "/" + name);
    }

    static String writeObject(long ticketNumber, ObjectNode content) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("ticket", ticketNumber);
        json.set("content", content);
        return json.toString();
    }

    static JsonNode read(Row row) {
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
        json.put("filed_at", ticket.filedMilliseconds());
        json.put("content", ticket.content());
        return json.toString();
    }

    static FiledTicket readTicket(Row row) {
        JsonNode json = read(row);
        return new FiledTicket(
                json.path("number").asLong(),
                json.path("version").asLong(),
                json.path("filed_at").asLong(),
                json.path("content").asText());
    }

    /** Lists the objects of a ticket with their content. */
    static Map<RowKey, ObjectNode> objectsOf(Ticket ticket) {
        Map<RowKey, ObjectNode> objects = new LinkedHashMap<>();
        ticket.services()
                .forEach(
                        service ->
                                objects.put(
                                        object(SERVICE, service.name()),
                                        TicketWriter.write(service)));
        ticket.backendServers()
                .forEach(
                        server ->
                                objects.put(
                                        object(BACKEND_SERVER, server.name()),
                                        TicketWriter.write(server)));
        ticket.availabilityZones()
                .forEach(
                        place ->
                                objects.put(
                                        object(PlaceKind.AVAILABILITY_ZONE.word(), place.name()),
                                        TicketWriter.write(place)));
        ticket.hosts()
                .forEach(
                        place ->
                                objects.put(
                                        object(PlaceKind.HOST.word(), place.name()),
                                        TicketWriter.write(place)));
        return objects;
    }
}
