package org.siskinramp.standin.platform;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.request.Header;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.ErrorBody;
import org.siskinramp.standin.http.HttpExchange;
import org.siskinramp.standin.http.HttpService;
import org.siskinramp.standin.http.Json;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Serves the platform's HTTP API from memory, with delays, rate limits and injected faults. */
public final class PlatformStandIn implements AutoCloseable {

    private static final int MAXIMUM_ROWS = 1000;
    private static final String TABLES_PATH = "/v1/tables/";
    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final String HOSTS_PATH = "/v1/hosts/";

    private final PlatformSettings settings;
    private final Scheduler scheduler;
    private final RateLimit writeLimit;
    private final RateLimit readLimit;
    private final RowStore rows = new RowStore();
    private final NavigableMap<String, byte[]> objects = new ConcurrentSkipListMap<>();
    private final HostList hosts = new HostList();
    private final FaultState faults = new FaultState();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final HttpService service;

    private PlatformStandIn(PlatformSettings settings, Clock clock, Scheduler scheduler) {
        this.settings = settings;
        this.scheduler = scheduler;
        writeLimit = new RateLimit(clock, settings.writesPerSecond());
        readLimit = new RateLimit(clock, settings.readsPerSecond());
        settings.hosts().stream().map(HostList.Item::of).forEach(hosts::put);
        service = HttpService.start(settings.address(), this::handle);
    }

    /**
     * Starts the stand-in.
     *
     * @param settings the settings
     * @param clock the clock
     * @param scheduler runs delayed reads, writes and changes of the host list
     * @return the running stand-in
     */
    public static PlatformStandIn start(
            PlatformSettings settings, Clock clock, Scheduler scheduler) {
        return new PlatformStandIn(settings, clock, scheduler);
    }

    /**
     * Returns the address on which the stand-in listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return service.address();
    }

    @Override
    public void close() {
        service.close();
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().startsWith("/-/")) {
            handleControl(exchange);
            return;
        }
        if (faults.current().hang()) {
            return;
        }
        if (faults.current().outage()) {
            refuse(exchange, "outage");
            return;
        }
        route(exchange);
    }

    private void handleControl(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /-/faults" -> {
                faults.change(Json.read(exchange.body(), PlatformFaults.class));
                exchange.answerJson(200, faults.current());
            }
            case "GET /-/counts" ->
                    exchange.answerJson(200, new Counts(reads.get(), writes.get(), rows.size()));
            default -> throw unknownResource(exchange);
        }
    }

    private void route(HttpExchange exchange) {
        String path = exchange.path();
        String request = exchange.method() + " " + path;
        if (request.equals("POST /v1/transactions")) {
            commit(exchange);
        } else if (request.equals("POST /v1/reads")) {
            List<RowKey> keys = Json.read(exchange.body(), ReadRequest.class).validKeys();
            read(exchange, () -> exchange.answerJson(200, RowList.of(rows.read(keys))));
        } else if (request.startsWith("GET " + TABLES_PATH)) {
            scan(exchange);
        } else if (path.equals("/v1/objects") || path.startsWith(OBJECTS_PATH)) {
            handleObjects(exchange);
        } else if (path.equals("/v1/hosts") || path.startsWith(HOSTS_PATH)) {
            handleHosts(exchange);
        } else {
            throw unknownResource(exchange);
        }
    }

    private void commit(HttpExchange exchange) {
        List<Write> transaction = Json.read(exchange.body(), TransactionRequest.class).toWrites();
        write(
                exchange,
                () -> {
                    CommitResult result = rows.commit(transaction);
                    return result.isCommitted()
                            ? () -> exchange.answerJson(200, new Versions(result.versions()))
                            : () -> exchange.answerJson(409, new Failed(result.failed()));
                });
    }

    private void scan(HttpExchange exchange) {
        String table = exchange.decodedPathAfter(TABLES_PATH);
        String prefix = exchange.queryParameter("prefix");
        String after = exchange.queryParameter("after");
        int limit = parseLimit(exchange.queryParameter("limit"));
        read(
                exchange,
                () -> exchange.answerJson(200, RowList.of(rows.scan(table, prefix, after, limit))));
    }

    private void handleObjects(HttpExchange exchange) {
        boolean list = exchange.path().equals("/v1/objects");
        switch (exchange.method()) {
            case "GET" ->
                    read(exchange, list ? () -> listObjects(exchange) : () -> getObject(exchange));
            case "PUT" -> {
                String name = exchange.decodedPathAfter(OBJECTS_PATH);
                write(
                        exchange,
                        () -> {
                            objects.put(name, exchange.body());
                            return () -> exchange.answer(204, List.of(), new byte[0]);
                        });
            }
            default -> throw unknownResource(exchange);
        }
    }

    private void listObjects(HttpExchange exchange) {
        String prefix = exchange.queryParameter("prefix");
        List<String> names =
                objects.tailMap(prefix, true).keySet().stream()
                        .takeWhile(name -> name.startsWith(prefix))
                        .toList();
        exchange.answerJson(200, new Names(names));
    }

    private void getObject(HttpExchange exchange) {
        Optional.ofNullable(objects.get(exchange.decodedPathAfter(OBJECTS_PATH)))
                .ifPresentOrElse(
                        content -> exchange.answer(200, List.of(octetStreamType()), content),
                        () -> exchange.answerJson(404, new ErrorBody("no such object")));
    }

    private void handleHosts(HttpExchange exchange) {
        switch (exchange.method()) {
            case "GET" -> runAfter(0, () -> exchange.answerJson(200, hosts.toHosts()));
            case "PUT" -> {
                HostList.Item host = Json.read(exchange.body(), HostList.Item.class);
                if (!host.name().equals(exchange.decodedPathAfter(HOSTS_PATH))) {
                    throw new ResultException(ResultCode.REQUEST_INVALID, "names differ");
                }
                changeHosts(exchange, () -> hosts.put(host));
            }
            case "DELETE" -> {
                String name = exchange.decodedPathAfter(HOSTS_PATH);
                changeHosts(exchange, () -> hosts.remove(name));
            }
            default -> throw unknownResource(exchange);
        }
    }

    private void changeHosts(HttpExchange exchange, Runnable change) {
        if (settings.hostListDelayMilliseconds() == 0) {
            change.run();
        } else {
            scheduler.schedule(settings.hostListDelayMilliseconds(), change);
        }
        exchange.answer(204, List.of(), new byte[0]);
    }

    private void read(HttpExchange exchange, Runnable answer) {
        reads.incrementAndGet();
        if (!readLimit.tryTake()) {
            refuse(exchange, "too many reads in this second");
            return;
        }
        runAfter(settings.readDelayMilliseconds(), answer);
    }

    private void write(HttpExchange exchange, WriteEffect effect) {
        writes.incrementAndGet();
        if (!writeLimit.tryTake()) {
            refuse(exchange, "too many writes in this second");
            return;
        }
        runAfter(
                settings.writeDelayMilliseconds(),
                () -> {
                    Runnable answer = effect.apply();
                    if (faults.consumeLostAnswer()) {
                        exchange.drop();
                    } else {
                        answer.run();
                    }
                });
    }

    private void runAfter(long delayMilliseconds, Runnable task) {
        long total = delayMilliseconds + faults.current().delayMilliseconds();
        if (total == 0) {
            task.run();
        } else {
            scheduler.schedule(total, task);
        }
    }

    private static void refuse(HttpExchange exchange, String reason) {
        exchange.answerJson(503, new ErrorBody(reason));
    }

    private static int parseLimit(String text) {
        if (text.isEmpty()) {
            return MAXIMUM_ROWS;
        }
        try {
            int limit = Integer.parseInt(text);
            if (limit >= 1 && limit <= MAXIMUM_ROWS) {
                return limit;
            }
        } catch (NumberFormatException failure) {
            throw new ResultException(ResultCode.REQUEST_INVALID, "limit is not a number");
        }
        throw new ResultException(ResultCode.REQUEST_INVALID, "limit is not from 1 to 1000");
    }

    private static Header octetStreamType() {
        return new Header("Content-Type", "application/octet-stream");
    }

    private static ResultException unknownResource(HttpExchange exchange) {
        return new ResultException(
                ResultCode.RESOURCE_UNKNOWN, exchange.method() + " " + exchange.path());
    }

    /** Applies a write and returns the task that sends its answer. */
    @FunctionalInterface
    private interface WriteEffect {
        Runnable apply();
    }

    private record Counts(long reads, long writes, long rows) {}

    private record Versions(List<Long> versions) {}

    private record Failed(List<Integer> failed) {}

    private record Names(List<String> names) {}
}
