package org.siskinramp.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;

/** Holds all object rows of the table service as of one configuration version. */
final class Snapshot {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Map<String, String> TICKET_FIELDS_BY_KIND =
            Map.of(
                    TicketRows.SERVICE_KIND,
                    "services",
                    TicketRows.BACKEND_SERVER_KIND,
                    "backend_servers",
                    LocationKind.AVAILABILITY_ZONE.label(),
                    "availability_zones",
                    LocationKind.HOST.label(),
                    "hosts");

    private final Optional<Row> versionRow;
    private final Optional<Row> ticketRow;
    private final Map<RowKey, Row> objects;
    private final Configuration configuration;

    Snapshot(Optional<Row> versionRow, Optional<Row> ticketRow, List<Row> objectRows) {
        this.versionRow = versionRow;
        this.ticketRow = ticketRow;
        this.objects = objectRows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
        this.configuration = configuration(objectRows);
    }

    private Configuration configuration(List<Row> rows) {
        return applyRows(rows, Configuration.empty().toBuilder(version()));
    }

    /**
     * Applies object rows to a configuration: adds, replaces or removes their objects.
     *
     * @param rows the object rows
     * @param builder the builder that holds the present configuration
     * @return the new configuration
     */
    static Configuration applyRows(List<Row> rows, Configuration.Builder builder) {
        ObjectNode ticketJson = MAPPER.createObjectNode().put("number", 1);
        TICKET_FIELDS_BY_KIND.values().forEach(ticketJson::putArray);
        for (Row row : rows) {
            String key = row.key().key();
            String field = TICKET_FIELDS_BY_KIND.get(key.substring(0, key.indexOf('/')));
            ticketJson.withArray(field).add(TicketRows.readJson(row).path("content"));
        }
        return TicketChecks.applyTicket(TicketParser.parseStored(ticketJson), builder);
    }

    Configuration configuration() {
        return configuration;
    }

    /** Returns the ticket with which this snapshot was loaded, if it was accepted. */
    Optional<FiledTicket> ticket() {
        return ticketRow.map(TicketRows::readTicket);
    }

    long version() {
        return versionRow.map(row -> Long.parseLong(row.value())).orElse(0L);
    }

    long rowVersion(RowKey key) {
        return objects.containsKey(key) ? objects.get(key).version() : Write.ABSENT;
    }

    /** Returns the number of the last ticket that contained an object, or 0 if none did. */
    long lastTicketNumber(RowKey key) {
        return Optional.ofNullable(objects.get(key))
                .map(row -> TicketRows.readJson(row).path("ticket"))
                .map(JsonNode::asLong)
                .orElse(0L);
    }

    Write writeObject(RowKey key, long ticketNumber, ObjectNode content) {
        return Write.replace(key, TicketRows.writeObject(ticketNumber, content), rowVersion(key));
    }

    Write writeNextVersion() {
        return Write.replace(
                TicketRows.VERSION_ROW_KEY,
                Long.toString(version() + 1),
                versionRow.map(Row::version).orElse(Write.ABSENT));
    }
}
