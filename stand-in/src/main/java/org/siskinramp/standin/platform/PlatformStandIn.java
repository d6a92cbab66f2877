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

/** Answers the platform's HTTP interface from memory, with delays, limits and faults. */
public final class PlatformStandIn implements AutoCloseable {

    private static final int GREATEST_ROWS = 1000;
    private static final String TABLES = "/v1/tables/";
    private static final String OBJECTS = "/v1/objects/";
    private static final String HOSTS = "/v1/hosts/";

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
     * @param scheduler what runs delayed answers
     * @return the running stand-in
     */
    public static PlatformStandIn start(
            PlatformSettings settings, Clock clock, Scheduler scheduler) {
        return new PlatformStandIn(settings, clock, scheduler);
    }

    /**
     * Returns where the stand-in listens.
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
            control(exchange);
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

    private void control(HttpExchange exchange) {
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
        } else if (request.startsWith("GET " + TABLES)) {
            scan(exchange);
        } else if (path.equals("/v1/objects") || path.startsWith(OBJECTS)) {
            object(exchange);
        } else if (path.equals("/v1/hosts") || path.startsWith(HOSTS)) {
            host(exchange);
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
        String table = exchange.pathAfter(TABLES);
        String prefix = exchange.query("prefix");
        String after = exchange.query("after");
        int limit = limit(exchange.query("limit"));
        read(
                exchange,
                () -> exchange.answerJson(200, RowList.of(rows.scan(table, prefix, after, limit))));
    }

    private void object(HttpExchange exchange) {
        boolean list = exchange.path().equals("/v1/objects");
        switch (exchange.method()) {
            case "GET" ->
                    read(exchange, list ? () -> listObjects(exchange) : () -> getObject(exchange));
            case "PUT" -> {
                String name = exchange.pathAfter(OBJECTS);
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
        String prefix = exchange.query("prefix");
        List<String> names =
                objects.tailMap(prefix, true).keySet().stream()
                        .takeWhile(name -> name.startsWith(prefix))
                        .toList();
        exchange.answerJson(200, new Names(names));
    }

    private void getObject(HttpExchange exchange) {
        Optional.ofNullable(objects.get(exchange.pathAfter(OBJECTS)))
                .ifPresentOrElse(
                        content -> exchange.answer(200, List.of(octets()), content),
                        () -> exchange.answerJson(404, new ErrorBody("no such object")));
    }

    private void host(HttpExchange exchange) {
        switch (exchange.method()) {
            case "GET" -> after(0, () -> exchange.answerJson(200, hosts.toHosts()));
            case "PUT" -> {
                HostList.Item host = Json.read(exchange.body(), HostList.Item.class);
                if (!host.name().equals(exchange.pathAfter(HOSTS))) {
                    throw new ResultException(ResultCode.REQUEST_INVALID, "names differ");
                }
                changeHosts(exchange, () -> hosts.put(host));
            }
            case "DELETE" -> {
                String name = exchange.pathAfter(HOSTS);
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
        after(settings.readDelayMilliseconds(), answer);
    }

    private void write(HttpExchange exchange, WriteEffect effect) {
        writes.incrementAndGet();
        if (!writeLimit.tryTake()) {
            refuse(exchange, "too many writes in this second");
            return;
        }
        after(
                settings.writeDelayMilliseconds(),
                () -> {
                    Runnable answer = effect.apply();
                    if (faults.takeLostAnswer()) {
                        exchange.drop();
                    } else {
                        answer.run();
                    }
                });
    }

    private void after(long delayMilliseconds, Runnable task) {
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

    private static int limit(String text) {
        if (text.isEmpty()) {
            return GREATEST_ROWS;
        }
        try {
            int limit = Integer.parseInt(text);
            if (limit >= 1 && limit <= GREATEST_ROWS) {
                return limit;
            }
        } catch (NumberFormatException failure) {
            throw new ResultException(ResultCode.REQUEST_INVALID, "limit is not a number");
        }
        throw new ResultException(ResultCode.REQUEST_INVALID, "limit is not from 1 to 1000");
    }

    private static Header octets() {
        return new Header("Content-Type", "application/octet-stream");
    }

    private static ResultException unknownResource(HttpExchange exchange) {
        return new ResultException(
                ResultCode.RESOURCE_UNKNOWN, exchange.method() + " " + exchange.path());
    }

    /** Makes a write durable and tells how to answer. */
    @FunctionalInterface
    private interface WriteEffect {
        Runnable apply();
    }

    private record Counts(long reads, long writes, long rows) {}

    private record Versions(List<Long> versions) {}

    private record Failed(List<Integer> failed) {}

    private record Names(List<String> names) {}
}
