package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.request.Header;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamFault;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Backend servers announce their shutdown, ask for a pause or send endless answers. */
class ServerAnnouncementProcessTest {

    private static final int HOSTS = 4;
    private static final int SERVERS = 6;
    private static final int SLOTS = 4;
    private static final long SERVICE_TIME_MILLISECONDS = 50;
    private static final long REQUEST_INTERVAL_MILLISECONDS = 45;
    private static final String PAUSE_HEADER = "Retry-After";
    private static final int CONCURRENT_REQUESTS = 50;

    /** Half of the memory of the smallest documented host, which has 330 MiB. */
    private static final long PEAK_MEMORY_LIMIT_KILOBYTES = 330 * 1024 / 2;

    @TempDir private Path directory;

    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final List<UpstreamStandIn> servers = new ArrayList<>();
    private final List<ProgramProcess> gateways = new ArrayList<>();
    private final List<TestClient> callers = new ArrayList<>();
    private final List<CompletableFuture<Integer>> answers = new ArrayList<>();
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        store.put("op", "config", SampleDeployment.configuration(1));
        for (int number = 0; number < SERVERS; number++) {
            String zone = SoakDeployment.zone(0);
            servers.add(
                    new UpstreamStandIn(
                            "i-" + number, "desk", zone, SLOTS, SERVICE_TIME_MILLISECONDS, store));
        }
        for (int host = 0; host < HOSTS; host++) {
            gateways.add(launch(host));
        }
        for (ProgramProcess gateway : gateways) {
            TestClient caller =
                    new TestClient("localhost:" + gateway.await("started", "caller_port"));
            callers.add(caller);
            TestClient.await(() -> send(caller).join() == 200);
        }
    }

    @AfterEach
    void stop() {
        gateways.forEach(ProgramProcess::close);
        servers.forEach(UpstreamStandIn::close);
        store.close();
    }

    private ProgramProcess launch(int host) throws IOException {
        return GatewayProcesses.launch(directory, host, SoakDeployment.zone(0), store.address());
    }

    private CompletableFuture<Integer> send(TestClient caller) {
        String requestId = "request-" + ++requestCount;
        return caller.send("GET", "/read/" + requestId, "", "X-Siskinramp-Request-Id", requestId)
                .thenApply(answer -> answer.statusCode());
    }

    private void sendFor(long milliseconds) throws InterruptedException {
        long end = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < end) {
            callers.forEach(caller -> answers.add(send(caller)));
            Thread.sleep(REQUEST_INTERVAL_MILLISECONDS);
        }
    }

    private boolean allLogged(String event) {
        return gateways.stream().allMatch(gateway -> gateway.output().contains(event));
    }

    private void sendUntilAllLogged(String event) throws InterruptedException {
        for (int part = 0; part < 100 && !allLogged(event); part++) {
            sendFor(100);
        }
        assertTrue(allLogged(event), event);
    }

    private void assertServed(double share) {
        long served = answers.stream().filter(answer -> answer.join() == 200).count();
        assertTrue(served >= share * answers.size(), "served " + served + "/" + answers.size());
    }

    @Test
    void aServerThatAnnouncesItsShutdownGetsNoNewRequests() throws Exception {
        UpstreamStandIn departingServer = servers.get(0);
        departingServer.setAdditionalHeaders(new Header("Server-Leaving", "1"));
        sendUntilAllLogged("event=server_departing backend_server=i-0");
        sendFor(200);
        int requestsBefore = departingServer.receivedRequestCount();
        sendFor(5_000);
        assertEquals(requestsBefore, departingServer.receivedRequestCount());
        assertServed(0.99);
    }

    @ParameterizedTest
    @ValueSource(strings = {"7", "6.5"})
    void aServerThatAsksForAPauseGetsNoRequestsDuringIt(String seconds) throws Exception {
        UpstreamStandIn pausedServer = servers.get(0);
        pausedServer.setAdditionalHeaders(new Header(PAUSE_HEADER, seconds));
        pausedServer.setFault(UpstreamFault.SHED);
        sendUntilAllLogged("event=server_paused backend_server=i-0");
        sendFor(200);
        int requestsBefore = pausedServer.receivedRequestCount();
        sendFor(2_000);
        assertEquals(requestsBefore, pausedServer.receivedRequestCount());
        pausedServer.setAdditionalHeaders();
        pausedServer.setFault(UpstreamFault.NONE);
        sendFor(8_000);
        assertTrue(
                pausedServer.receivedRequestCount() > requestsBefore, "no request after the pause");
        assertServed(0.99);
    }

    @Test
    void aMalformedAnnouncementIsIgnoredAndLogged() throws Exception {
        servers.get(0).setAdditionalHeaders(new Header("Server-Leaving", "perhaps"));
        sendUntilAllLogged("event=announcement_ignored backend_server=i-0");
        int requestsBefore = servers.get(0).receivedRequestCount();
        sendFor(1_000);
        assertTrue(servers.get(0).receivedRequestCount() > requestsBefore);
        assertServed(0.99);
    }

    /**
     * The other servers must keep serving: 95% of all requests are answered, also during the fault.
     */
    @ParameterizedTest
    @EnumSource(names = {"ENDLESS_BODY", "ENDLESS_TRICKLE", "ENDLESS_HEAD"})
    void aServerThatSendsAnEndlessAnswerIsEjected(UpstreamFault fault) throws Exception {
        sendFor(1_000);
        servers.get(0).setFault(fault);
        sendFor(8_000);
        assertTrue(
                gateways.stream()
                        .anyMatch(gateway -> gateway.output().contains("event=server_ejected")),
                "no host ejected the server");
        assertServed(0.95);
    }

    @Test
    void fiftyConcurrentEndlessAnswersStayWithinTheMemoryLimit() throws Exception {
        for (int number = SERVERS; number < CONCURRENT_REQUESTS / SLOTS; number++) {
            servers.add(
                    new UpstreamStandIn(
                            "i-" + number,
                            "desk",
                            SoakDeployment.zone(0),
                            SLOTS,
                            SERVICE_TIME_MILLISECONDS,
                            store));
        }
        sendFor(4_000);
        servers.forEach(server -> server.setFault(UpstreamFault.ENDLESS_BODY));
        answers.clear();
        TestClient caller = callers.get(0);
        for (int request = 0; request < CONCURRENT_REQUESTS; request++) {
            answers.add(send(caller));
        }
        answers.forEach(answer -> assertTrue(answer.join() >= 500, "status " + answer.join()));
        assertTrue(gateways.get(0).isAlive());
        long peak = gateways.get(0).peakResidentKilobytes();
        assertTrue(peak < PEAK_MEMORY_LIMIT_KILOBYTES, "peak " + peak + " kB");
        servers.forEach(server -> server.setFault(UpstreamFault.NONE));
        TestClient.await(() -> send(caller).join() == 200);
    }
}
