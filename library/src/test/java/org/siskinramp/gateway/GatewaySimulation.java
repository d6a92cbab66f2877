package org.siskinramp.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.log.RequestMetricsRecorder;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.route.ServiceShare;
import org.siskinramp.time.VirtualTime;

/** Simulates hosts and backend servers that crash, in virtual time. */
final class GatewaySimulation {

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

    private final VirtualTime time;
    private final SimulatedServers servers;
    private final List<String> events = new ArrayList<>();
    private final Map<String, Long> crashedAt = new HashMap<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private int requests;

    GatewaySimulation() {
        this(1);
    }

    /** Creates hosts that know each other's number and share the backend servers. */
    GatewaySimulation(int hosts) {
        time = new VirtualTime();
        servers = new SimulatedServers(time, 7);
        for (int host = 1; host <= hosts; host++) {
            gateways.add(newGateway(host, hosts));
        }
    }

    /** Uses a given host, which has no routes yet. */
    GatewaySimulation(VirtualTime time, SimulatedServers servers, Gateway gateway) {
        this.time = time;
        this.servers = servers;
        setRoutes(gateway);
        gateways.add(gateway);
    }

    private Gateway newGateway(int seed, int hosts) {
        Gateway gateway =
                new Gateway(
                        new GatewayEnvironment(
                                "zone-1",
                                time,
                                time,
                                servers,
                                event -> events.add(event.toLine()),
                                (counter, amount) -> {},
                                RequestMetricsRecorder.NONE,
                                RandomSource.XO_RO_SHI_RO_128_PP.create(seed)),
                        GatewayOptions.builder().build(),
                        hosts);
        setRoutes(gateway);
        return gateway;
    }

    private static void setRoutes(Gateway gateway) {
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

    /** Returns the first host. */
    Gateway gateway() {
        return gateways.get(0);
    }

    List<Gateway> gateways() {
        return gateways;
    }

    SimulatedServers.SimulatedServer addServer(String name) {
        return addServer(name, 4, 100);
    }

    SimulatedServers.SimulatedServer addServer(
            String name, int slots, long serviceTimeMilliseconds) {
        SimulatedServers.SimulatedServer server =
                servers.add(name, "zone-1", slots, serviceTimeMilliseconds);
        gateways.forEach(gateway -> gateway.putServer(server.entry()));
        return server;
    }

    CompletableFuture<Answer> send(String content) {
        return send(gateway(), content);
    }

    CompletableFuture<Answer> send(Gateway gateway, String content) {
        return send(gateway, content, CallerConnection.ALWAYS_OPEN);
    }

    CompletableFuture<Answer> send(
            Gateway gateway, String content, CallerConnection callerConnection) {
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
                READ,
                callerConnection);
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
                gateways.forEach(gateway -> gateway.putServer(server.entry()));
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
