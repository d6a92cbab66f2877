package org.siskinramp.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.StreamSupport;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.http.ErrorBody;
import org.siskinramp.standin.http.HttpExchange;
import org.siskinramp.standin.http.HttpService;
import org.siskinramp.standin.http.Json;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/**
 * Serves the operators' store on loopback.
 *
 * <pre>{@code
 * StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
 * store.put("op", "config", text);
 * store.setFault(StoreFault.SILENT);
 * }</pre>
 */
public final class StoreStandIn implements AutoCloseable {

    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int CONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;
    private static final int PAGE_ROWS = 500;
    private static final long POLL_MILLISECONDS = 5;
    private static final String NO_PART = "";

    private final StoreTables tables = new StoreTables();
    private final Clock clock = new SystemClock();
    private final WorkerScheduler workers = new WorkerScheduler(1);
    private final AtomicInteger calls = new AtomicInteger();
    private final HttpService service;
    private volatile StoreFault fault = StoreFault.NONE;

    private StoreStandIn(String address) {
        service = HttpService.start(address, this::handle);
    }

    /**
     * Starts an empty store.
     *
     * @param address where to listen, as {@code ip:port}; port 0 takes a free one
     * @return the running store
     */
    public static StoreStandIn start(String address) {
        return new StoreStandIn(address);
    }

    /**
     * Returns where it listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return service.address();
    }

    /**
     * Counts the calls.
     *
     * @return how many calls came, whatever became of them
     */
    public int calls() {
        return calls.get();
    }

    /**
     * Sets how calls are treated from now on.
     *
     * @param value the fault
     */
    public void setFault(StoreFault value) {
        fault = value;
    }

    /** Drops the history, so that followers have to read whole tables. */
    public void dropHistory() {
        tables.dropHistory();
    }

    /**
     * Writes a row as the operator or a backend server does.
     *
     * @param table the table
     * @param key the key
     * @param value the value as text
     */
    public void put(String table, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        tables.commit(Map.of(), Map.of(new RowName(table, NO_PART, key), encoded), List.of());
    }

    /**
     * Removes a row as the operator does.
     *
     * @param table the table
     * @param key the key
     */
    public void remove(String table, String key) {
        tables.commit(Map.of(), Map.of(), List.of(new RowName(table, NO_PART, key)));
    }

    private void handle(HttpExchange exchange) {
        calls.incrementAndGet();
        switch (fault) {
            case BUSY -> exchange.answerJson(UNAVAILABLE, new ErrorBody("busy"));
            case CUT -> exchange.drop();
            case SILENT -> {
                // The exchange is never answered.
            }
            case NONE -> answer(exchange);
        }
    }

    private void answer(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /siskinramp/rows-get" -> read(exchange);
            case "GET /siskinramp/rows-feed" ->
                    feed(
                            exchange,
                            clock.monotonicMilliseconds()
                                    + Long.parseLong(exchange.query("wait_ms")));
            case "POST /siskinramp/rows-tx" -> commit(exchange);
            default -> exchange.answerJson(NOT_FOUND, new ErrorBody("no such call"));
        }
    }

    private void read(HttpExchange exchange) {
        long version = tables.version();
        List<StoredRow> rows =
                tables.read(
                        exchange.query("table"),
                        exchange.query("part"),
                        exchange.query("from"),
                        PAGE_ROWS + 1);
        boolean more = rows.size() > PAGE_ROWS;
        Map<String, Object> body = body(more ? rows.subList(0, PAGE_ROWS) : rows, version);
        body.put("has_more", more);
        exchange.answerJson(OK, body);
    }

    private Map<String, Object> body(List<StoredRow> rows, long version) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", rows);
        body.put("ver", version);
        body.put("now_ms", clock.monotonicMilliseconds());
        return body;
    }

    private void feed(HttpExchange exchange, long end) {
        long version = tables.version();
        Optional<List<StoredRow>> changes =
                tables.changes(exchange.query("table"), Long.parseLong(exchange.query("after")));
        if (changes.isEmpty()) {
            exchange.answerJson(GONE, new ErrorBody("the history is gone"));
        } else if (!changes.get().isEmpty() || clock.monotonicMilliseconds() >= end) {
            exchange.answerJson(OK, body(changes.get(), version));
        } else {
            workers.schedule(POLL_MILLISECONDS, () -> feed(exchange, end));
        }
    }

    private void commit(HttpExchange exchange) {
        JsonNode request = Json.read(exchange.body(), JsonNode.class);
        Map<RowName, Long> conditions = new HashMap<>();
        request.path("precondition")
                .forEach(row -> conditions.put(name(row), row.path("ver").asLong()));
        Map<RowName, String> put = new HashMap<>();
        request.path("put").forEach(row -> put.put(name(row), row.path("value").asText()));
        List<RowName> removed =
                StreamSupport.stream(request.path("remove").spliterator(), false)
                        .map(StoreStandIn::name)
                        .toList();
        boolean foreign =
                put.keySet().stream()
                        .anyMatch(
                                name ->
                                        name.table().equals("op")
                                                || name.table().equals("servers"));
        if (foreign) {
            exchange.answerJson(FORBIDDEN, new ErrorBody("the table is not yours"));
        } else {
            boolean held = tables.commit(conditions, put, removed);
            exchange.answerJson(held ? OK : CONDITION_FAILED, body(List.of(), tables.version()));
        }
    }

    private static RowName name(JsonNode row) {
        return new RowName(
                row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    @Override
    public void close() {
        service.close();
        workers.close();
    }
}
