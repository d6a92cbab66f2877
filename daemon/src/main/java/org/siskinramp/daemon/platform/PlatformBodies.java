package org.siskinramp.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;

/** Serialises and parses the JSON bodies of calls to the platform. */
final class PlatformBodies {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .build();

    private PlatformBodies() {}

    static byte[] transaction(List<Write> writes) {
        return write(new TransactionBody(writes.stream().map(WriteBody::of).toList()));
    }

    static byte[] reads(List<RowKey> keys) {
        return write(new ReadsBody(keys));
    }

    static List<Row> rows(byte[] body) throws IOException {
        return MAPPER.readValue(body, RowsBody.class).rows().stream().map(RowBody::toRow).toList();
    }

    static List<String> names(byte[] body) throws IOException {
        return MAPPER.readValue(body, NamesBody.class).names();
    }

    static List<ListedHost> hosts(byte[] body) throws IOException {
        return MAPPER.readValue(body, HostsBody.class).hosts();
    }

    private static byte[] write(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** The body of a transaction. */
    record TransactionBody(List<WriteBody> writes) {}

    /** One write of a transaction; a value of null deletes the row. */
    record WriteBody(String table, String key, String value, long expectedVersion) {

        static WriteBody of(Write write) {
            return new WriteBody(
                    write.key().table(),
                    write.key().key(),
                    write.value().orElse(null),
                    write.expectedVersion());
        }
    }

    /** The body of a read of given rows. */
    record ReadsBody(List<RowKey> keys) {}

    /** An answer with rows. */
    record RowsBody(List<RowBody> rows) {}

    /** One row of an answer. */
    record RowBody(String table, String key, long version, String value) {

        Row toRow() {
            return new Row(new RowKey(table, key), version, value);
        }
    }

    /** An answer with names of objects. */
    record NamesBody(List<String> names) {}

    /** An answer with entry hosts. */
    record HostsBody(List<ListedHost> hosts) {}
}
