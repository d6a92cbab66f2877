package org.siskinramp.standin.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.siskinramp.standin.Main;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.http.Json;
import org.siskinramp.standin.proxy.FaultProxy;
import org.siskinramp.time.SystemClock;

/**
 * Runs a platform, backend servers and entry hosts as processes. All backend servers but the first
 * share one process.
 */
final class Cluster implements AutoCloseable {

    static final int SLOTS_OF_ALL_SERVERS = 24;

    private static final List<String> SERVERS =
            List.of(
                    "schedule-consent-1",
                    "schedule-consent-2",
                    "schedule-consent-3",
                    "dispatch-1",
                    "dispatch-2",
                    "dispatch-3");
    private static final String ANY_PORT_ADDRESS = "127.0.0.1:0";
    private static final long RESTART_DELAY_MILLISECONDS = 500;
    private static final int ZONES = 3;
    private static final long REACHABLE_TIMEOUT_SECONDS = 10;
    private static final long IN_FORCE_TIMEOUT_SECONDS = 20;
    private static final long SLOT_ASSIGNMENT_TIMEOUT_SECONDS = 30;
    private static final List<String> SERVER_OPTIONS =
            List.of(
                    "--slots", "4",
                    "--work-ms", "10",
                    "--cold-slots", "1",
                    "--warm-after-requests", "20");

    private final Path directory;
    private final Map<String, ProgramProcess> processes = new LinkedHashMap<>();
    private final Map<String, RunningHost> hosts = new LinkedHashMap<>();
    private final Map<String, String> serverAddresses = new LinkedHashMap<>();
    private final Map<String, FaultProxy> serverProxies = new LinkedHashMap<>();
    private FaultProxy platformProxy;

    Cluster(Path directory) {
        this.directory = directory;
    }

    /** Starts all processes. If a start fails, {@link #close} still ends those that run. */
    void start() {
        ProgramProcess platform = startStandIn("platform", List.of("platform"));
        ProgramProcess restartableServer = startServer(SERVERS.get(0), ANY_PORT_ADDRESS);
        ProgramProcess otherServers = startOtherServers();
        platformProxy = proxyTo(platform.await("listening", "address"));
        for (int number = 1; number <= ZONES; number++) {
            String name = "entry-" + number;
            hosts.put(
                    name,
                    RunningHost.start(
                            name, directory, "almaty-" + number, platformProxy.address()));
        }
        addServer(SERVERS.get(0), restartableServer.await("listening", "address"));
        String[] addresses = otherServers.await("listening", "address").split(",", -1);
        for (int index = 0; index < addresses.length; index++) {
            addServer(SERVERS.get(index + 1), addresses[index]);
        }
        hosts.values().forEach(this::registerHost);
        hosts.values().forEach(RunningHost::awaitAuthority);
    }

    static FaultProxy proxyTo(String target) {
        return FaultProxy.start("127.0.0.1:0", target, "127.0.0.1:0", new SystemClock());
    }

    private ProgramProcess startStandIn(String name, List<String> arguments) {
        ProgramProcess process =
                ProgramProcess.start(directory.resolve(name + ".log"), Main.class, arguments);
        processes.put(name, process);
        return process;
    }

    private ProgramProcess startOtherServers() {
        List<String> names = SERVERS.subList(1, SERVERS.size());
        List<String> arguments =
                new ArrayList<>(List.of("backend-servers", "--names", String.join(",", names)));
        arguments.addAll(SERVER_OPTIONS);
        return startStandIn("servers", arguments);
    }

    private ProgramProcess startServer(String name, String address) {
        List<String> arguments =
                new ArrayList<>(List.of("backend-server", "--name", name, "--address", address));
        arguments.addAll(SERVER_OPTIONS);
        return startStandIn(name, arguments);
    }

    private void addServer(String name, String address) {
        serverAddresses.put(name, address);
        serverProxies.put(name, proxyTo(address));
    }

    /** Kills and restarts a backend server. It must be one that has a process of its own. */
    void restartServer(String name) {
        processes.get(name).kill();
        Waiting.milliseconds(RESTART_DELAY_MILLISECONDS);
        startServer(name, serverAddresses.get(name)).await("listening", "address");
    }

    private void registerHost(RunningHost host) {
        String entry =
                """
                {"name": "%s", "availability_zone": "%s", "peer_address": "%s", "leaving": false}
                """
                        .formatted(host.name(), host.availabilityZone(), host.peerAddress());
        new TestClient(platformProxy.address())
                .send("PUT", "/v1/hosts/" + host.name(), entry)
                .join();
    }

    RunningHost host(String name) {
        return hosts.get(name);
    }

    List<RunningHost> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Shuts a host down gracefully, restarts it and waits until it is ready. */
    void restartHost(String name) {
        RunningHost host = hosts.get(name);
        host.process().terminate();
        RunningHost restarted = host.startAgain();
        hosts.put(name, restarted);
        restarted.awaitReady();
    }

    List<String> serverAddresses() {
        return List.copyOf(serverAddresses.values());
    }

    JsonNode executionStatistics(String server) {
        String body = awaitReachable(serverAddresses.get(server)).get("/-/judge").body();
        return Json.read(body.getBytes(StandardCharsets.UTF_8), JsonNode.class);
    }

    long sumOverServers(String counter) {
        return serverAddresses.keySet().stream()
                .mapToLong(server -> executionStatistics(server).get(counter).asLong())
                .sum();
    }

    /** Returns how often a request began to run, summed over all backend servers. */
    int runsOf(String caller, String requestId) {
        String path = "/-/judge/runs?caller=" + caller + "&request_id=" + requestId;
        int runs = 0;
        for (String address : serverAddresses.values()) {
            String body = awaitReachable(address).get(path).body();
            runs +=
                    Json.read(body.getBytes(StandardCharsets.UTF_8), JsonNode.class)
                            .get("runs")
                            .asInt();
        }
        return runs;
    }

    /** Waits until a server answers, since a crashed one gives no statistics until it restarts. */
    private static TestClient awaitReachable(String address) {
        Waiting.until(
                REACHABLE_TIMEOUT_SECONDS,
                () -> address + " reachable",
                () -> isReachable(address));
        return new TestClient(address);
    }

    private static boolean isReachable(String address) {
        try {
            return new TestClient(address).get("/-/judge").statusCode() == 200;
        } catch (CompletionException unreachable) {
            return false;
        }
    }

    void injectServerFaults(String faults) {
        serverAddresses.values().forEach(address -> postFaults(address, faults));
    }

    /**
     * Stops all traffic on the open connections to backend servers without closing them, as a
     * network does that has lost the state of its connections. New connections work.
     */
    void silenceServerConnections() {
        serverProxies
                .values()
                .forEach(
                        proxy ->
                                postFaults(proxy.controlAddress(), "{\"silence_existing\": true}"));
    }

    void cutPlatform(boolean cut) {
        postFaults(platformProxy.controlAddress(), "{\"cut\": " + cut + "}");
    }

    static void postFaults(String address, String faults) {
        int status = new TestClient(address).post("/-/faults", faults).statusCode();
        if (status != 200) {
            throw new AssertionError(faults + " " + status);
        }
    }

    /**
     * Files the first ticket, with all services, and waits until it is in force on all hosts and
     * they hold all slots.
     *
     * @param throughProxies whether hosts reach the backend servers through fault proxies
     */
    void fileFirstTicket(boolean throughProxies) {
        Map<String, String> addresses = new LinkedHashMap<>(serverAddresses);
        if (throughProxies) {
            serverProxies.forEach((name, proxy) -> addresses.put(name, proxy.address()));
        }
        String body =
                hosts().get(0)
                        .command("POST", "/v1/tickets", TicketJson.fullTicket(addresses))
                        .join()
                        .body();
        Waiting.until(
                IN_FORCE_TIMEOUT_SECONDS,
                () -> "ticket 1 in force: " + body,
                () -> isInForceEverywhere(1));
        hosts.values().forEach(RunningHost::awaitReady);
        Waiting.until(
                SLOT_ASSIGNMENT_TIMEOUT_SECONDS,
                () -> "all slots held, but " + heldSlots(),
                () -> heldSlots() == SLOTS_OF_ALL_SERVERS);
    }

    private int heldSlots() {
        return hosts.values().stream().mapToInt(RunningHost::heldSlots).sum();
    }

    boolean isInForceEverywhere(int ticket) {
        JsonNode detail = hosts().get(0).query("/v1/tickets/" + ticket);
        return detail.get("in_force_hosts").size() == hosts.size();
    }

    @Override
    public void close() {
        hosts.values().forEach(RunningHost::close);
        processes.values().forEach(ProgramProcess::close);
        serverProxies.values().forEach(FaultProxy::close);
        if (platformProxy != null) {
            platformProxy.close();
        }
    }
}
