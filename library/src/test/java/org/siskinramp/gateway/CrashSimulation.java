package org.siskinramp.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.log.RequestMetricsRecorder;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.route.ServiceShare;
import org.siskinramp.time.VirtualTime;

/** Simulates one host and backend servers that crash, in virtual time. */
final class CrashSimulation {

    private static final Route READ =
            Route.builder()
                    .name("read")
                    .host("h")
                    .prefix("/read/")
                    .idempotent(true)
                    .timeLimitMilliseconds(1_000)
                    .latencyObjectiveMilliseconds(300)
                    .attemptLimit(2)
                    .shares(List.of(new ServiceShare("s", 1)))
                    .build();

    private final VirtualTime time = new VirtualTime();
    private final SimulatedServers servers = new SimulatedServers(time, 7);
    private final List<String> events = new ArrayList<>();
    private final Map<String, Long> crashedAt = new HashMap<>();
    private final Gateway gateway =
            new Gateway(
                    new GatewayEnvironment(
                            "zone-1",
                            time,
                            time,
                            servers,
                            event -> events.add(event.toLine()),
                            (counter, amount) -> {},
                            RequestMetricsRecorder.NONE,
                            RandomSource.XO_RO_SHI_RO_128_PP.create(1)),
                    GatewayOptions.builder().build(),
                    1);
    private int requests;

    CrashSimulation() {
        gateway.updateRoutes(
                new RouteTable(
                        1,
                        List.of(READ),
                        List.of(new RoutedService("s", "/health", 100, 5)),
                        new CallerLimits(1_000, 1_000, 1_000, 1_000)));
    }

    VirtualTime time() {
        return time;
    }

    SimulatedServers servers() {
        return servers;
    }

    Gateway gateway() {
        return gateway;
    }

    SimulatedServers.SimulatedServer addServer(String name) {
        SimulatedServers.SimulatedServer server = servers.add(name, "zone-1", 4, 100);
        gateway.putServer(server.entry());
        return server;
    }

    CompletableFuture<Answer> send(String content) {
        long now = time.monotonicMilliseconds();
        return gateway.handle(
                Request.builder()
                        .key(new RequestKey("", "request-" + requests++))
                        .service("s")
                        .kind(new RequestKind("read", "*", "/", true, 1))
                        .method("GET")
                        .target("/read/" + content)
                        .contentHash(content)
                        .arrivedMilliseconds(now)
                        .deadlineMilliseconds(now + READ.timeLimitMilliseconds())
                        .build(),
                READ);
    }

    /** Restarts the servers that have been down for the given time. */
    void restartCrashed(long downtimeMilliseconds) {
        long now = time.monotonicMilliseconds();
        for (SimulatedServers.SimulatedServer server : servers.all()) {
            if (!server.isDown()) {
                crashedAt.remove(server.name());
            } else if (now - crashedAt.computeIfAbsent(server.name(), name -> now)
                    >= downtimeMilliseconds) {
                server.restart();
                gateway.putServer(server.entry());
            }
        }
    }

    List<String> events() {
        return events;
    }

    /** Returns the log lines of crashes under requests with a content. */
    List<String> crashEvents(String content) {
        return events.stream()
                .filter(line -> line.startsWith("event=crash content=" + content + " "))
                .toList();
    }
}
