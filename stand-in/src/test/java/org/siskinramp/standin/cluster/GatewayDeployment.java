package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/**
 * Runs gateways as processes in one availability zone, with a store and backend servers, and sends
 * reads through all of them.
 */
final class GatewayDeployment implements AutoCloseable {

    static final int SLOTS = 4;

    private final Path directory;
    private final long serviceTimeMilliseconds;
    private final long requestIntervalMilliseconds;
    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final List<UpstreamStandIn> servers = new ArrayList<>();
    private final List<ProgramProcess> gateways = new ArrayList<>();
    private final List<TestClient> callers = new ArrayList<>();
    private final List<CompletableFuture<Integer>> answers = new ArrayList<>();
    private String configuration = SampleDeployment.configuration(1);
    private int requestCount;

    /**
     * Starts the store and the backend servers.
     *
     * @param directory where gateways write their settings and logs
     * @param serverCount the number of backend servers
     * @param serviceTimeMilliseconds how long a backend server runs a request
     * @param requestIntervalMilliseconds the time between two requests through the same gateway
     */
    GatewayDeployment(
            Path directory,
            int serverCount,
            long serviceTimeMilliseconds,
            long requestIntervalMilliseconds) {
        this.directory = directory;
        this.serviceTimeMilliseconds = serviceTimeMilliseconds;
        this.requestIntervalMilliseconds = requestIntervalMilliseconds;
        store.put("op", "config", configuration);
        for (int number = 0; number < serverCount; number++) {
            addServer();
        }
    }

    UpstreamStandIn addServer() {
        UpstreamStandIn server =
                new UpstreamStandIn(
                        "i-" + servers.size(),
                        "desk",
                        SoakDeployment.zone(0),
                        SLOTS,
                        serviceTimeMilliseconds,
                        store);
        servers.add(server);
        return server;
    }

    /** Starts gateways that reach the store directly, and waits until each of them serves. */
    void startGateways(int hosts) throws IOException, InterruptedException {
        startGateways(hosts, host -> store.address());
    }

    /** Starts gateways with the store addresses given, and waits until each of them serves. */
    void startGateways(int hosts, IntFunction<String> storeAddresses)
            throws IOException, InterruptedException {
        for (int host = 0; host < hosts; host++) {
            gateways.add(
                    GatewayProcesses.launch(
                            directory, host, SoakDeployment.zone(0), storeAddresses.apply(host)));
        }
        for (ProgramProcess gateway : gateways) {
            TestClient caller =
                    new TestClient("localhost:" + gateway.await("started", "caller_port"));
            callers.add(caller);
            TestClient.await(() -> send(caller).join() == 200);
        }
    }

    StoreStandIn store() {
        return store;
    }

    List<UpstreamStandIn> servers() {
        return servers;
    }

    UpstreamStandIn server(int number) {
        return servers.get(number);
    }

    List<ProgramProcess> gateways() {
        return gateways;
    }

    TestClient caller(int host) {
        return callers.get(host);
    }

    /** Returns the statuses that callers got while load was sent. */
    List<CompletableFuture<Integer>> answers() {
        return answers;
    }

    /** Replaces a part of the configuration, before the gateways are started. */
    void configure(String part, String replacement) {
        configuration = configuration.replace(part, replacement);
        store.put("op", "config", configuration);
    }

    /** Sends one unsafe request through the first gateway. */
    CompletableFuture<HttpResponse<String>> write(String requestId, String body) {
        return caller(0)
                .send("POST", "/write/" + requestId, body, "X-Siskinramp-Request-Id", requestId);
    }

    /** Returns how often all servers together have started to run a request. */
    int runs(String requestId) {
        return servers.stream().mapToInt(server -> server.runs().getOrDefault(requestId, 0)).sum();
    }

    /** Sends one read; returns its status. */
    CompletableFuture<Integer> send(TestClient caller) {
        String requestId = "request-" + ++requestCount;
        return caller.send("GET", "/read/" + requestId, "", "X-Siskinramp-Request-Id", requestId)
                .thenApply(answer -> answer.statusCode());
    }

    void sendFor(long milliseconds) throws InterruptedException {
        sendFor(milliseconds, () -> {});
    }

    /** Sends reads through all gateways at the interval, and calls an observer after each. */
    void sendFor(long milliseconds, Runnable observer) throws InterruptedException {
        long end = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < end) {
            callers.forEach(caller -> answers.add(send(caller)));
            Thread.sleep(requestIntervalMilliseconds);
            observer.run();
        }
    }

    boolean allLogged(String event) {
        return gateways.stream().allMatch(gateway -> gateway.output().contains(event));
    }

    void awaitHostsCounted() throws InterruptedException {
        TestClient.await(() -> allLogged("event=hosts_counted hosts=" + gateways.size() + " "));
    }

    /** Fails unless this share of all reads was answered. */
    void assertServed(double share) {
        long served = answers.stream().filter(answer -> answer.join() == 200).count();
        assertTrue(served >= share * answers.size(), "served " + served + "/" + answers.size());
    }

    @Override
    public void close() {
        gateways.forEach(ProgramProcess::close);
        servers.forEach(UpstreamStandIn::close);
        store.close();
    }
}
