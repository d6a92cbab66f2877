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

/** Holds all object rows as they were at one configuration version. */
final class Snapshot {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Map<String, String> LISTS =
            Map.of(
                    TicketRows.SERVICE,
                    "services",
                    TicketRows.BACKEND_SERVER,
                    "backend_servers",
                    PlaceKind.AVAILABILITY_ZONE.word(),
                    "availability_zones",
                    PlaceKind.HOST.word(),
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
        return put(rows, Configuration.empty().toBuilder(version()));
    }

    /**
     * Puts object rows into a new configuration.
     *
     * @param rows the rows
     * @param builder the builder of the new configuration
     * @return the configuration
     */
    static Configuration put(List<Row> rows, Configuration.Builder builder) {
        ObjectNode all = MAPPER.createObjectNode().put("number", 1);
        LISTS.values().forEach(all::putArray);
        for (Row row : rows) {
            String key = row.key().key();
            String list = LISTS.get(key.substring(0, key.indexOf('/')));
            all.withArray(list).add(TicketRows.read(row).path("content"));
        }
        return TicketChecks.put(TicketParser.parseStored(all), builder);
    }

    Configuration configuration() {
        return configuration;
    }

    /** Returns the ticket that was asked for, if it was accepted. */
    Optional<FiledTicket> ticket() {
        return ticketRow.map(TicketRows::readTicket);
    }

    long version() {
        return versionRow.map(row -> Long.parseLong(row.value())).orElse(0L);
    }

    long rowVersion(RowKey key) {
        return objects.containsKey(key) ? objects.get(key).version() : Write.ABSENT;
    }

    /** Returns the number of the last ticket that touched an object, or 0. */
    long lastTicket(RowKey key) {
        return Optional.ofNullable(objects.get(key))
                .map(row -> TicketRows.read(row).path("ticket"))
                .map(JsonNode::asLong)
                .orElse(0L);
    }

    Write writeObject(RowKey key, long ticketNumber, ObjectNode content) {
        return Write.replace(key, TicketRows.writeObject(ticketNumber, content), rowVersion(key));
    }

    Write writeNextVersion() {
        return Write.replace(
                TicketRows.VERSION,
                Long.toString(version() + 1),
                versionRow.map(Row::version).orElse(Write.ABSENT));
    }
}
