package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.adapter.Main;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.store.StoreFault;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamFault;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Runs the gateway as a process, with stand-ins for the operators' store and backend servers. */
class GatewayProcessTest {

    private static final int SERVICE_TIME_MILLISECONDS = 100;

    /**
     * Long enough that the request still runs when the gateway notices the disconnect of its
     * caller, also on a busy machine.
     */
    private static final int LONG_SERVICE_TIME_MILLISECONDS = 1_000;

    /**
     * A server whose load report is less than 3 ms old gets the next request without a probe, so
     * that a faster caller could stay with one server.
     */
    private static final long STALE_LOAD_REPORT_MILLISECONDS = 10;

    /** A host that has just started must serve this many requests to earn a retry. */
    private static final int REQUESTS_PER_RETRY = 20;

    @TempDir private Path directory;

    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final UpstreamStandIn firstServer = upstream("i-1");
    private UpstreamStandIn secondServer;
    private ProgramProcess gateway;
    private TestClient callerClient;
    private TestClient readinessClient;
    private int callerPort;
    private int requestCount;

    private UpstreamStandIn upstream(String identity) {
        return new UpstreamStandIn(identity, "desk", "zone-a", 4, SERVICE_TIME_MILLISECONDS, store);
    }

    @BeforeEach
    void configure() {
        store.put("op", "config", SampleDeployment.configuration(1));
    }

    @AfterEach
    void stop() {
        if (gateway != null) {
            gateway.close();
        }
        firstServer.close();
        if (secondServer != null) {
            secondServer.close();
        }
        store.close();
    }

    private void start() throws Exception {
        launch();
        TestClient.await(() -> readinessClient.get("/siskinramp/ready").statusCode() == 200);
    }

    private void launch() throws IOException {
        Path settings = directory.resolve("gateway.toml");
        Files.writeString(settings, SampleDeployment.settings(store.address()));
        gateway =
                ProgramProcess.start(
                        directory.resolve("gateway.log"), Main.class, List.of(settings.toString()));
        callerPort = Integer.parseInt(gateway.await("started", "caller_port"));
        callerClient = new TestClient("localhost:" + callerPort);
        readinessClient = new TestClient("127.0.0.1:" + gateway.await("started", "readiness_port"));
    }

    private String nextId() {
        return "request-" + requestCount++;
    }

    private static String head(String requestLine, String... headers) {
        return requestLine + "\r\nHost: localhost\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
    }

    private HttpResponse<String> read() {
        return callerClient.send("GET", "/read/x", "", "X-Siskinramp-Request-Id", nextId()).join();
    }

    private HttpResponse<String> write(String id) {
        return callerClient.post("/write/x", "body", "X-Siskinramp-Request-Id", id);
    }

    @Test
    void aPortInUseIsLoggedAndTheProcessExitsWithFailure() throws Exception {
        Path settings = directory.resolve("gateway.toml");
        String addressInUse = firstServer.address();
        Files.writeString(
                settings,
                SampleDeployment.settings(store.address())
                        .replace(
                                "readiness_address = \"127.0.0.1:0\"",
                                "readiness_address = \"" + addressInUse + "\""));
        gateway =
                ProgramProcess.start(
                        directory.resolve("gateway.log"), Main.class, List.of(settings.toString()));
        String resultCode = gateway.await("failed", "result_code");
        TestClient.await(() -> !gateway.isAlive());
        assertEquals("501", resultCode);
        assertEquals(1, gateway.exitStatus());
    }

    @Test
    void relaysTheWholeAnswerOfABackendServer() throws Exception {
        start();
        HttpResponse<String> answer = write("order-1");
        assertEquals(200, answer.statusCode());
        assertEquals("POST /write/x 4", answer.body());
        assertEquals(
                "s.i-1", answer.headers().firstValue("X-Siskinramp-Upstream-Signature").orElse(""));
        assertEquals("order-1", answer.headers().firstValue("X-Siskinramp-Request-Id").orElse(""));
        assertEquals(1, firstServer.runs().get("order-1"));
    }

    @Test
    void refusesUnknownRoutesAndRequestsWithoutIdentifier() throws Exception {
        start();
        assertEquals(
                404,
                callerClient
                        .send("GET", "/other/x", "", "X-Siskinramp-Request-Id", "a")
                        .join()
                        .statusCode());
        assertEquals(400, callerClient.get("/read/x").statusCode());
    }

    @Test
    void isNotReadyAndAsksCallersToRetryUntilTheStoreIsReached() throws Exception {
        store.setFault(StoreFault.BUSY);
        launch();
        assertEquals(503, readinessClient.get("/siskinramp/ready").statusCode());
        HttpResponse<String> refused = read();
        assertEquals(503, refused.statusCode());
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        store.setFault(StoreFault.NONE);
        TestClient.await(() -> readinessClient.get("/siskinramp/ready").statusCode() == 200);
        assertEquals(200, read().statusCode());
    }

    @Test
    void keepsServingWhileTheStoreDoesNotRespond() throws Exception {
        start();
        store.setFault(StoreFault.SILENT);
        for (int number = 0; number < 10; number++) {
            assertEquals(200, read().statusCode());
        }
    }

    @Test
    void neverRunsANonIdempotentRequestTwice() throws Exception {
        start();
        for (UpstreamFault fault :
                List.of(
                        UpstreamFault.LOSE_ANSWER,
                        UpstreamFault.NO_SIGNATURE,
                        UpstreamFault.OTHER_REQUEST,
                        UpstreamFault.SHORT_BODY,
                        UpstreamFault.FALSE_PROMISE)) {
            firstServer.setFault(fault);
            String id = "order-" + fault;
            assertEquals(502, write(id).statusCode(), id);
            assertEquals(1, firstServer.runs().get(id), id);
        }
    }

    @Test
    void refusesARequestThatABackendServerShedAsNotRun() throws Exception {
        start();
        firstServer.setFault(UpstreamFault.SHED);
        HttpResponse<String> refused = write("order-shed");
        assertEquals(503, refused.statusCode());
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertFalse(firstServer.runs().containsKey("order-shed"));
    }

    @Test
    void repeatsAReadOnAnotherServer() throws Exception {
        secondServer = upstream("i-2");
        start();
        for (int number = 0; number < REQUESTS_PER_RETRY; number++) {
            assertEquals(200, read().statusCode());
        }
        int runsBefore = firstServer.runs().size();
        firstServer.setFault(UpstreamFault.LOSE_ANSWER);
        for (int number = 0; firstServer.runs().size() == runsBefore; number++) {
            assertTrue(number < 100, "the first server got no request");
            Thread.sleep(STALE_LOAD_REPORT_MILLISECONDS);
            assertEquals(200, read().statusCode());
        }
        Set<String> ranOnBoth = new HashSet<>(firstServer.runs().keySet());
        ranOnBoth.retainAll(secondServer.runs().keySet());
        assertEquals(1, ranOnBoth.size(), "requests that ran on both servers: " + ranOnBoth);
    }

    @Test
    void cancelsTheRequestOfACallerThatDisconnects() throws Exception {
        firstServer.setServiceTime(LONG_SERVICE_TIME_MILLISECONDS);
        start();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            String request = head("GET /read/x HTTP/1.1", "X-Siskinramp-Request-Id: leaver");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            TestClient.await(() -> firstServer.runs().containsKey("leaver"));
        }
        TestClient.await(() -> firstServer.cancelledRequestCount() == 1);
    }

    @Test
    void aSmuggledRequestReachesNoServer() throws Exception {
        start();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            String request =
                    head(
                                    "POST /write/x HTTP/1.1",
                                    "X-Siskinramp-Request-Id: outer",
                                    "Content-Length: 4",
                                    "Transfer-Encoding: chunked")
                            + "0\r\n\r\n"
                            + head("GET /read/x HTTP/1.1", "X-Siskinramp-Request-Id: inner");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[12];
            assertEquals(12, socket.getInputStream().readNBytes(answer, 0, 12));
            assertEquals("HTTP/1.1 400", new String(answer, StandardCharsets.US_ASCII));
        }
        assertTrue(firstServer.runs().isEmpty());
    }

    @Test
    void keepsTheLastValidConfigurationWhenANewOneIsMalformed() throws Exception {
        start();
        store.put("op", "config", "{\"version\":\"r9\",\"hosts\":[");
        store.put("servers", "i-forged", "{\"service\":7}");
        gateway.await("configuration_ignored", "cause");
        assertEquals(200, read().statusCode());
    }

    @Test
    void followsANewConfigurationAlsoAfterTheHistoryIsGone() throws Exception {
        start();
        store.dropHistory();
        store.put("op", "config", SampleDeployment.configuration(2).replace("/read/", "/look/"));
        TestClient.await(
                () ->
                        callerClient
                                        .send(
                                                "GET",
                                                "/look/x",
                                                "",
                                                "X-Siskinramp-Request-Id",
                                                nextId())
                                        .join()
                                        .statusCode()
                                == 200);
    }

    @Test
    void aHangUpDoesNotEndIt() throws Exception {
        start();
        gateway.hangUp();
        gateway.await("reload", "valid");
        assertTrue(gateway.isAlive());
        assertEquals(200, read().statusCode());
    }

    @Test
    void aGracefulShutdownCutsNoRequest() throws Exception {
        start();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            answers.add(
                    callerClient.send("GET", "/read/x", "", "X-Siskinramp-Request-Id", nextId()));
        }
        TestClient.await(() -> firstServer.runs().size() == 4);
        assertEquals(0, gateway.terminate());
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.join().statusCode());
        }
    }
}
