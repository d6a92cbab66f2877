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
import org.siskinramp.standin.upstream.GatewayWorld;
import org.siskinramp.standin.upstream.UpstreamFault;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Runs the gateway as a process against stand-ins of the operators' store and backend servers. */
class GatewayProcessTest {

    private static final int WORK_MILLISECONDS = 100;

    /** Long enough to be cut short also where the processes of the test get little time. */
    private static final int LONG_WORK_MILLISECONDS = 1_000;

    /** A server that told its load less than 3 ms ago gets the next request unasked. */
    private static final long OLD_SIGHT_MILLISECONDS = 10;

    /** A host that has just started earns a repeat by its requests. */
    private static final int REQUESTS_OF_A_REPEAT = 20;

    @TempDir private Path directory;

    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final UpstreamStandIn first = upstream("i-1");
    private UpstreamStandIn second;
    private ProgramProcess gateway;
    private TestClient callers;
    private TestClient readiness;
    private int port;
    private int requests;

    private UpstreamStandIn upstream(String identity) {
        return new UpstreamStandIn(identity, "desk", "zone-a", 4, WORK_MILLISECONDS, store);
    }

    @BeforeEach
    void configure() {
        store.put("op", "config", GatewayWorld.configuration(1));
    }

    @AfterEach
    void stop() {
        if (gateway != null) {
            gateway.close();
        }
        first.close();
        if (second != null) {
            second.close();
        }
        store.close();
    }

    private void start() throws Exception {
        launch();
        TestClient.await(() -> readiness.get("/siskinramp/ready").statusCode() == 200);
    }

    private void launch() throws IOException {
        Path settings = directory.resolve("gateway.toml");
        Files.writeString(settings, GatewayWorld.settings(store.address()));
        gateway =
                ProgramProcess.start(
                        directory.resolve("gateway.log"), Main.class, List.of(settings.toString()));
        port = Integer.parseInt(gateway.await("started", "caller_port"));
        callers = new TestClient("localhost:" + port);
        readiness = new TestClient("127.0.0.1:" + gateway.await("started", "readiness_port"));
    }

    private String nextId() {
        return "request-" + requests++;
    }

    private static String head(String first, String... headers) {
        return first + "\r\nHost: localhost\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
    }

    private HttpResponse<String> read() {
        return callers.send("GET", "/read/x", "", "X-Siskinramp-Request-Id", nextId()).join();
    }

    private HttpResponse<String> write(String id) {
        return callers.post("/write/x", "body", "X-Siskinramp-Request-Id", id);
    }

    @Test
    void aPortThatIsTakenIsToldInOneLineAndAFailedExit() throws Exception {
        Path settings = directory.resolve("gateway.toml");
        String taken = first.address();
        Files.writeString(
                settings,
                GatewayWorld.settings(store.address())
                        .replace(
                                "readiness_address = \"127.0.0.1:0\"",
                                "readiness_address = \"" + taken + "\""));
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
        assertEquals(1, first.runs().get("order-1"));
    }

    @Test
    void knowsNoOtherRoutesAndNeedsAnIdentifier() throws Exception {
        start();
        assertEquals(
                404,
                callers.send("GET", "/other/x", "", "X-Siskinramp-Request-Id", "a")
                        .join()
                        .statusCode());
        assertEquals(400, callers.get("/read/x").statusCode());
    }

    @Test
    void answersNotReadyAndComeBackUntilTheStoreIsReached() throws Exception {
        store.setFault(StoreFault.BUSY);
        launch();
        assertEquals(503, readiness.get("/siskinramp/ready").statusCode());
        HttpResponse<String> refused = read();
        assertEquals(503, refused.statusCode());
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        store.setFault(StoreFault.NONE);
        TestClient.await(() -> readiness.get("/siskinramp/ready").statusCode() == 200);
        assertEquals(200, read().statusCode());
    }

    @Test
    void servesOnWhileTheStoreIsSilent() throws Exception {
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
            first.setFault(fault);
            String id = "order-" + fault;
            assertEquals(502, write(id).statusCode(), id);
            assertEquals(1, first.runs().get(id), id);
        }
    }

    @Test
    void refusesWhatABackendServerShedAsNotRun() throws Exception {
        start();
        first.setFault(UpstreamFault.SHED);
        HttpResponse<String> refused = write("order-shed");
        assertEquals(503, refused.statusCode());
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertFalse(first.runs().containsKey("order-shed"));
    }

    @Test
    void repeatsAReadOnAnotherServer() throws Exception {
        second = upstream("i-2");
        start();
        for (int number = 0; number < REQUESTS_OF_A_REPEAT; number++) {
            assertEquals(200, read().statusCode());
        }
        int before = first.runs().size();
        first.setFault(UpstreamFault.LOSE_ANSWER);
        for (int number = 0; first.runs().size() == before; number++) {
            assertTrue(number < 100, "the first server got no request");
            Thread.sleep(OLD_SIGHT_MILLISECONDS);
            assertEquals(200, read().statusCode());
        }
        Set<String> both = new HashSet<>(first.runs().keySet());
        both.retainAll(second.runs().keySet());
        assertEquals(1, both.size(), "requests that ran on both servers: " + both);
    }

    @Test
    void stopsTheWorkOfACallerThatCloses() throws Exception {
        first.setWork(LONG_WORK_MILLISECONDS);
        start();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            String request = head("GET /read/x HTTP/1.1", "X-Siskinramp-Request-Id: leaver");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            TestClient.await(() -> first.runs().containsKey("leaver"));
        }
        TestClient.await(() -> first.abandoned() == 1);
    }

    @Test
    void aSmuggledRequestReachesNoServer() throws Exception {
        start();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
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
        assertTrue(first.runs().isEmpty());
    }

    @Test
    void keepsTheLastGoodConfigurationWhenOneCannotBeRead() throws Exception {
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
        store.put("op", "config", GatewayWorld.configuration(2).replace("/read/", "/look/"));
        TestClient.await(
                () ->
                        callers.send("GET", "/look/x", "", "X-Siskinramp-Request-Id", nextId())
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
    void aPlannedStopCutsNoRequest() throws Exception {
        start();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            answers.add(callers.send("GET", "/read/x", "", "X-Siskinramp-Request-Id", nextId()));
        }
        TestClient.await(() -> first.runs().size() == 4);
        assertEquals(0, gateway.terminate());
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.join().statusCode());
        }
    }
}
