package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.proxy.FaultProxy;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.GatewayWorld;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Runs gateways as processes, of which the store refuses some. */
class HostsRefusedByStoreProcessTest {

    private static final int HOSTS = 6;
    private static final int READERS = 2;
    private static final int SERVERS = 8;
    private static final int LEAVING = 4;
    private static final int SLOTS = 4;
    private static final long WORK_MILLISECONDS = 30;
    private static final long GAP_MILLISECONDS = 40;
    private static final long LEAVE_GAP_MILLISECONDS = 1_300;

    /** The time after which a leaving server gets nothing more, and a part for a busy machine. */
    private static final long DRAIN_MILLISECONDS = 2_000 + 1_000;

    /** The time in which a configuration must be in force, and a part for a busy machine. */
    private static final long CONFIGURATION_MILLISECONDS = 2_000 + 1_000;

    private static final int MANY = 450;

    /** Outlives the test, so that a failure can be traced. */
    private final Path directory =
            Path.of("target", "refused", Long.toString(System.nanoTime())).toAbsolutePath();

    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final List<FaultProxy> storeLinks = new ArrayList<>();
    private final List<UpstreamStandIn> servers = new ArrayList<>();
    private final List<ProgramProcess> gateways = new ArrayList<>();
    private final List<TestClient> callers = new ArrayList<>();
    private final List<CompletableFuture<Integer>> answers = new ArrayList<>();
    private int requests;

    @BeforeEach
    void start() throws Exception {
        Files.createDirectories(directory);
        store.put("op", "config", GatewayWorld.configuration(1));
        for (int number = 0; number < SERVERS; number++) {
            servers.add(
                    new UpstreamStandIn(
                            "i-" + number,
                            "desk",
                            SoakWorld.zone(0),
                            SLOTS,
                            WORK_MILLISECONDS,
                            store));
        }
        for (int host = 0; host < HOSTS; host++) {
            FaultProxy link = Cluster.proxyTo(store.address());
            storeLinks.add(link);
            gateways.add(
                    GatewayProcesses.launch(directory, host, SoakWorld.zone(0), link.address()));
        }
        for (ProgramProcess gateway : gateways) {
            TestClient caller =
                    new TestClient("localhost:" + gateway.await("started", "caller_port"));
            callers.add(caller);
            TestClient.await(() -> send(caller).join() == 200);
        }
        TestClient.await(() -> told().size() == HOSTS - READERS);
    }

    @AfterEach
    void stop() {
        gateways.forEach(ProgramProcess::close);
        servers.forEach(UpstreamStandIn::close);
        storeLinks.forEach(FaultProxy::close);
        store.close();
    }

    private List<Integer> told() {
        List<Integer> told = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            String text = gateways.get(host).text();
            int last = text.lastIndexOf("event=feed_source ");
            if (last >= 0 && text.startsWith("event=feed_source peer=edge-", last)) {
                told.add(host);
            }
        }
        return told;
    }

    private CompletableFuture<Integer> send(TestClient caller) {
        String requestId = "request-" + ++requests;
        return caller.send("GET", "/read/" + requestId, "", "X-Siskinramp-Request-Id", requestId)
                .thenApply(answer -> answer.statusCode());
    }

    private void sendFor(long milliseconds) throws InterruptedException {
        long end = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < end) {
            callers.forEach(caller -> answers.add(send(caller)));
            Thread.sleep(GAP_MILLISECONDS);
        }
    }

    private void refuseAtStore(int host) {
        Cluster.post(storeLinks.get(host).controlAddress(), "{\"cut\": true}");
    }

    private int runs(int server) {
        return servers.get(server).runs().size();
    }

    private int aReader() {
        List<Integer> told = told();
        int reader = 0;
        while (told.contains(reader)) {
            reader++;
        }
        return reader;
    }

    /** Writes a configuration with more routes than hosts tell each other unasked. */
    private void configureManyRoutes(int version, String prefix) {
        StringBuilder routes = new StringBuilder();
        for (int number = 0; number < MANY; number++) {
            String path = number == 0 ? prefix : "/many-" + number + "/";
            routes.append(
                    """
                    {"name":"many-%d","prefix":"%s","kind":"safe","timeout_ms":1200,
                     "goal_latency_ms":600,"priority":2,"service":"desk","max_attempts":2},
                    """
                            .formatted(number, path));
        }
        store.put(
                "op",
                "config",
                GatewayWorld.configuration(version).replace("\"paths\":[", "\"paths\":[" + routes));
    }

    @Test
    void hostsThatTheStoreRefusesServeANewRouteOfMany() throws Exception {
        configureManyRoutes(2, "/first/");
        sendFor(CONFIGURATION_MILLISECONDS);
        int reader = aReader();
        int told = told().get(0);
        refuseAtStore(reader);
        refuseAtStore(told);
        sendFor(500);
        configureManyRoutes(3, "/second/");
        sendFor(CONFIGURATION_MILLISECONDS);
        for (int host : List.of(reader, told)) {
            int status =
                    callers.get(host)
                            .send("GET", "/second/x", "", "X-Siskinramp-Request-Id", "new-" + host)
                            .join()
                            .statusCode();
            assertEquals(200, status, "host " + host);
        }
    }

    @Test
    void hostsThatTheStoreRefusesSendNothingToServersThatLeft() throws Exception {
        sendFor(1_000);
        int reader = aReader();
        int told = told().get(0);
        refuseAtStore(reader);
        refuseAtStore(told);
        sendFor(500);
        int[] before = new int[LEAVING];
        for (int server = 0; server < LEAVING; server++) {
            servers.get(server).withdraw();
            sendFor(LEAVE_GAP_MILLISECONDS);
        }
        sendFor(DRAIN_MILLISECONDS - LEAVE_GAP_MILLISECONDS);
        for (int server = 0; server < LEAVING; server++) {
            before[server] = runs(server);
            assertTrue(before[server] > 0, "server " + server);
        }
        sendFor(3_000);
        for (int server = 0; server < LEAVING; server++) {
            assertEquals(before[server], runs(server), "late requests at server " + server);
        }
        long served = answers.stream().filter(answer -> answer.join() == 200).count();
        assertTrue(served >= 0.99 * answers.size(), "served " + served + "/" + answers.size());
    }
}
