package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.adapter.Main;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.store.StoreFault;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Runs gateways as processes. Two of them are readers, the others are their subscribers. */
class GatewayRelayProcessTest {

    private static final int HOSTS = 4;
    private static final int READERS = 2;

    /** Requirement of the operators: the time within which a configuration is in force. */
    private static final long CONFIGURATION_MILLISECONDS = 2_000;

    private static final long SCHEDULING_MARGIN_MILLISECONDS = 1_000;

    @TempDir private Path directory;

    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final UpstreamStandIn server =
            new UpstreamStandIn("i-1", "desk", "zone-a", 8, 20, store);
    private final List<ProgramProcess> gateways = new ArrayList<>();
    private final List<TestClient> callers = new ArrayList<>();

    @BeforeEach
    void start() throws IOException {
        store.put("op", "config", SampleDeployment.configuration(1));
        for (int number = 1; number <= HOSTS; number++) {
            Path settings = directory.resolve("edge-" + number + ".toml");
            Files.writeString(
                    settings,
                    SampleDeployment.settings(store.address())
                            .replace("name = \"edge-1\"", "name = \"edge-" + number + "\""));
            gateways.add(
                    ProgramProcess.start(
                            directory.resolve("edge-" + number + ".log"),
                            Main.class,
                            List.of(settings.toString())));
        }
        for (ProgramProcess gateway : gateways) {
            callers.add(new TestClient("localhost:" + gateway.await("started", "caller_port")));
        }
    }

    @AfterEach
    void stop() {
        gateways.forEach(ProgramProcess::close);
        server.close();
        store.close();
    }

    private int status(int host, String path) {
        return callers.get(host)
                .send("GET", path, "", "X-Siskinramp-Request-Id", path + host)
                .join()
                .statusCode();
    }

    private boolean isSubscriber(int host) {
        return gateways.get(host).output().contains("event=feed_source peer=edge-");
    }

    private List<Integer> subscribers() {
        List<Integer> subscribers = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            if (isSubscriber(host)) {
                subscribers.add(host);
            }
        }
        return subscribers;
    }

    private void awaitSubscribers() throws InterruptedException {
        TestClient.await(() -> subscribers().size() >= HOSTS - READERS);
        for (ProgramProcess gateway : gateways) {
            // A reader reads the table of hosts every 10 s.
            TestClient.await(
                    () -> gateway.await("hosts_counted", "hosts").equals(Integer.toString(HOSTS)));
        }
    }

    private static String withRoute(String prefix) {
        return SampleDeployment.configuration(2).replace("/read/", prefix);
    }

    @Test
    void subscribersServeANewRouteInTime() throws Exception {
        awaitSubscribers();
        store.put("op", "config", withRoute("/later/"));
        Thread.sleep(CONFIGURATION_MILLISECONDS);
        for (int host = 0; host < HOSTS; host++) {
            assertEquals(200, status(host, "/later/x"));
        }
    }

    @Test
    void aHostThatStartsWhileTheStoreDoesNotRespondServesRoutesFromASeed() throws Exception {
        awaitSubscribers();
        String seed = gateways.get(1).await("host_published", "peer_address");
        store.setFault(StoreFault.SILENT);
        gateways.get(0).kill();
        Path settings = directory.resolve("edge-1.toml");
        Files.writeString(
                settings,
                Files.readString(settings)
                        .replace("[peers]\n", "[peers]\nseeds = [\"" + seed + "\"]\n"));
        ProgramProcess restarted =
                ProgramProcess.start(
                        directory.resolve("edge-1-again.log"),
                        Main.class,
                        List.of(settings.toString()));
        gateways.set(0, restarted);
        callers.set(0, new TestClient("localhost:" + restarted.await("started", "caller_port")));
        TestClient.await(() -> status(0, "/read/" + System.nanoTime()) == 200);
    }

    @Test
    void subscribersWhoseReadersAreKilledServeANewRouteInTime() throws Exception {
        awaitSubscribers();
        List<Integer> subscribers = subscribers();
        for (int host = 0; host < HOSTS; host++) {
            if (!subscribers.contains(host)) {
                gateways.get(host).kill();
            }
        }
        store.put("op", "config", withRoute("/later/"));
        Thread.sleep(CONFIGURATION_MILLISECONDS + SCHEDULING_MARGIN_MILLISECONDS);
        assertTrue(!subscribers.isEmpty());
        for (int host : subscribers) {
            assertEquals(200, status(host, "/later/x"));
        }
    }
}
