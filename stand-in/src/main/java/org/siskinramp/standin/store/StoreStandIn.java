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
import org.siskinramp.request.Header;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.http.ErrorBody;
import org.siskinramp.standin.http.HttpExchange;
import org.siskinramp.standin.http.HttpService;
import org.siskinramp.standin.http.Json;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/**
 * Serves the API of the store on loopback, from memory.
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
    private static final long FEED_POLL_INTERVAL_MILLISECONDS = 5;
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
     * @param address the address to listen on, as {@code ip:port}; port 0 selects a free port
     * @return the running store
     */
    public static StoreStandIn start(String address) {
        return new StoreStandIn(address);
    }

    /**
     * Returns the address on which the store listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return service.address();
    }

    /**
     * Returns how many calls the store has received, including those that a fault failed.
     *
     * @return the number of calls
     */
    public int calls() {
        return calls.get();
    }

    /**
     * Sets the fault that is injected from now on.
     *
     * @param value the fault
     */
    public void setFault(StoreFault value) {
        fault = value;
    }

    /** Discards the history of changes, so that followers have to read whole tables. */
    public void dropHistory() {
        tables.dropHistory();
    }

    /** Saves a copy of all rows, from which the store can be restored. */
    public void saveCopy() {
        tables.saveCopy();
    }

    /**
     * Restores the store from the oldest saved copy, which is used up, and begins a new era: what
     * was written since then is lost, and its versions are given out again.
     */
    public void restoreCopy() {
        tables.restoreCopy();
    }

    /**
     * Removes the rows of a table that were not written since the store was restored, as entries
     * expire that no live server renews.
     *
     * @param table the table
     */
    public void removeRowsNotRenewed(String table) {
        tables.commit(Map.of(), Map.of(), tables.rowsNotRenewed(table));
    }

    /**
     * Writes a row unconditionally, as an operator or a backend server does.
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
     * Removes a row, as an operator does.
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
            case BUSY -> answerJson(exchange, UNAVAILABLE, new ErrorBody("busy"));
            case CUT -> exchange.drop();
            case SILENT -> {
                // The request is never answered.
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
                                    + Long.parseLong(exchange.queryParameter("wait_ms")));
            case "POST /siskinramp/rows-tx" -> commit(exchange);
            default -> answerJson(exchange, NOT_FOUND, new ErrorBody("no such call"));
        }
    }

    private void answerJson(HttpExchange exchange, int status, Object value) {
        exchange.answer(
                status,
                List.of(
                        new Header("Content-Type", "application/json"),
                        new Header("Store-Era", Long.toString(tables.era()))),
                Json.write(value));
    }

    private void read(HttpExchange exchange) {
        long version = tables.version();
        List<StoredRow> rows =
                tables.read(
                        exchange.queryParameter("table"),
                        exchange.queryParameter("part"),
                        exchange.queryParameter("from"),
                        PAGE_ROWS + 1);
        boolean more = rows.size() > PAGE_ROWS;
        Map<String, Object> body = rowsBody(more ? rows.subList(0, PAGE_ROWS) : rows, version);
        body.put("has_more", more);
        answerJson(exchange, OK, body);
    }

    private Map<String, Object> rowsBody(List<StoredRow> rows, long version) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", rows);
        body.put("ver", version);
        body.put("now_ms", clock.monotonicMilliseconds());
        return body;
    }

    private void feed(HttpExchange exchange, long endMilliseconds) {
        long version = tables.version();
        Optional<List<StoredRow>> changes =
                tables.changesAfter(
                        exchange.queryParameter("table"),
                        Long.parseLong(exchange.queryParameter("after")));
        if (changes.isEmpty()) {
            answerJson(exchange, GONE, new ErrorBody("the history is gone"));
        } else if (!changes.get().isEmpty() || clock.monotonicMilliseconds() >= endMilliseconds) {
            answerJson(exchange, OK, rowsBody(changes.get(), version));
        } else {
            workers.schedule(
                    FEED_POLL_INTERVAL_MILLISECONDS, () -> feed(exchange, endMilliseconds));
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
        boolean writesForbiddenTable =
                put.keySet().stream()
                        .anyMatch(
                                name ->
                                        name.table().equals("op")
                                                || name.table().equals("servers"));
        if (writesForbiddenTable) {
            answerJson(exchange, FORBIDDEN, new ErrorBody("the table is not yours"));
        } else {
            boolean committed = tables.commit(conditions, put, removed);
            answerJson(
                    exchange,
                    committed ? OK : CONDITION_FAILED,
                    rowsBody(List.of(), tables.version()));
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
