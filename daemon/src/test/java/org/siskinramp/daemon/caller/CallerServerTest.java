package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.daemon.exchange.ManualClock;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Header;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

class CallerServerTest {

    private static final Answer ANSWER =
            new Answer(
                    ResultCode.ANSWERED,
                    201,
                    List.of(new Header("X-Kept", "1")),
                    "done".getBytes(StandardCharsets.UTF_8));
    private static final Configuration CONFIGURATION =
            Configuration.empty().toBuilder(1)
                    .service(
                            new Service(
                                    "dispatch",
                                    "/dispatch",
                                    2000,
                                    10,
                                    List.of(
                                            new RequestKind(
                                                    "order", "POST", "/dispatch/orders", false, 5)),
                                    AdministrativeState.IN))
                    .build();

    private final AtomicReference<Request> lastRequest = new AtomicReference<>();
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final ManualClock clock = new ManualClock();
    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(CONFIGURATION);
    private final CallerServer server =
            new CallerServer(
                    request -> {
                        lastRequest.set(request);
                        return answer.copy();
                    },
                    configuration::get,
                    clock,
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder()
                            .headerLimitBytes(2000)
                            .bodyLimitBytes(50)
                            .bodyTimeLimitMilliseconds(1000)
                            .totalBodyLimitBytes(40)
                            .concurrentRequestLimit(1)
                            .idleTimeoutMilliseconds(300)
                            .drainTimeoutMilliseconds(5000)
                            .build());

    CallerServerTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        answer.complete(ANSWER);
        server.stop();
    }

    @Test
    void relaysTheAnswerOfACompleteRequest() throws Exception {
        answer.complete(ANSWER);
        String received =
                send(
                        post(
                                "valve 9",
                                "Caller: crew-7",
                                "Request-Id: order-1",
                                "Request-Deadline: 900",
                                "X-Kept: 2",
                                "Content-Length: 7"));
        assertTrue(received.startsWith("HTTP/1.1 201 "), received);
        assertTrue(received.contains("\r\nResult-Code: 100\r\n"), received);
        assertTrue(received.contains("\r\nRequest-Id: order-1\r\n"), received);
        assertTrue(received.contains("\r\nX-Kept: 1\r\n"), received);
        assertTrue(received.endsWith("\r\n\r\ndone"), received);
        Request request = lastRequest.get();
        assertEquals(new RequestKey("crew-7", "order-1"), request.key());
        assertEquals("order", request.kind().name());
        assertEquals("/dispatch/orders?a=%20b", request.target());
        assertEquals(
                List.of(new Header("Host", "h"), new Header("X-Kept", "2")), request.headers());
        assertEquals("valve 9", new String(request.body(), StandardCharsets.UTF_8));
        assertEquals(clock.monotonicMilliseconds() + 900, request.deadlineMilliseconds());
        assertEquals(
                "060d0f1f47601de5f79e29465f968cd1faba45ccfadccfbee765882e94cfc36b",
                request.contentHash());
    }

    @Test
    void generatesAnIdentifierForIdempotentRequestsAndCapsTheDeadline() throws Exception {
        answer.complete(ANSWER.asReplay());
        String received = send(get("/dispatch/plan", "Caller: crew-7\r\n"));
        assertTrue(received.contains("\r\nResult-Code: 101\r\n"), received);
        assertEquals(36, lastRequest.get().key().requestId().length());
        assertEquals("read", lastRequest.get().kind().name());
        assertEquals(
                clock.monotonicMilliseconds() + 2000, lastRequest.get().deadlineMilliseconds());
    }

    @Test
    void refusesBadRequestsWithTheirResultCodes() throws Exception {
        assertRefused(201, "404", get("/unknown", "Caller: crew-7\r\n"));
        assertRefused(216, "400", get("/dispatch/plan", ""));
        assertRefused(211, "400", get("/dispatch/plan", "Caller: crew/7\r\n"));
        assertRefused(211, "400", get("/dispatch/plan", "Caller: c\r\nRequest-Deadline: 0\r\n"));
        assertRefused(
                211,
                "400",
                get("/dispatch/plan", "Caller: c\r\nRequest-Id: " + "x".repeat(201) + "\r\n"));
        assertRefused(212, "400", post("", "Caller: c", "Content-Length: 0"));
        assertRefused(208, "431", get("/dispatch/plan", "X: " + "x".repeat(3000) + "\r\n"));
        assertRefused(211, "400", "nonsense\r\n\r\n");
    }

    @Test
    void refusesABodyThatIsTooLargeOrStalls() throws Exception {
        String[] headerLines = {"Caller: c", "Request-Id: 1", "Content-Length: 51"};
        assertRefused(209, "413", post("x".repeat(51), headerLines));
        headerLines[2] = "Transfer-Encoding: chunked";
        assertRefused(209, "413", post("33\r\n" + "x".repeat(51) + "\r\n", headerLines));
        headerLines[2] = "Content-Length: 5";
        assertRefused(218, "408", post("ab", headerLines));
    }

    @Test
    void refusesABodyThatArrivesTooSlowly() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(5000);
            String[] headers = {
                "Caller: c", "Request-Id: 1", "Content-Length: 3", "Expect: 100-continue"
            };
            socket.getOutputStream().write(bytes(post("", headers)));
            String interim = "HTTP/1.1 100 Continue\r\n\r\n";
            assertEquals(
                    interim,
                    new String(
                            socket.getInputStream().readNBytes(interim.length()),
                            StandardCharsets.UTF_8));
            clock.advance(1001);
            socket.getOutputStream().write(bytes("abc"));
            String received =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(received.startsWith("HTTP/1.1 408 "), received);
            assertTrue(received.contains("\r\nResult-Code: 218\r\n"), received);
        }
    }

    @Test
    void refusesBodiesBeyondTheTotalLimitAndReleasesMemoryAfterEachRequest() throws Exception {
        String[] headerLines = {"Caller: c", "Request-Id: 1", "Content-Length: 41"};
        assertRefused(210, "503", post("", headerLines));
        headerLines[2] = "Transfer-Encoding: chunked";
        assertRefused(210, "503", post("29\r\n" + "x".repeat(41) + "\r\n", headerLines));
        answer.complete(ANSWER);
        headerLines[2] = "Content-Length: 40";
        for (int copy = 0; copy < 3; copy++) {
            awaitNoRequestInProgress();
            assertTrue(send(post("x".repeat(40), headerLines)).endsWith("done"));
        }
    }

    @Test
    void returnsTheResultCodeAndRetryAfterDelayOfAFailure() throws Exception {
        answer.completeExceptionally(
                new ResultException(ResultCode.QUEUE_FULL, "service=dispatch", 1001));
        String received = send(get("/dispatch/plan", "Caller: c\r\nRequest-Id: r-1\r\n"));
        assertTrue(received.startsWith("HTTP/1.1 503 "), received);
        assertTrue(received.contains("\r\nNot-Run: copy\r\n"), received);
        assertTrue(received.contains("\r\nRetry-After: 2\r\n"), received);
        assertTrue(received.contains("\r\nRetry-After-Milliseconds: 1001\r\n"), received);
        assertTrue(
                received.endsWith(
                        "{\"code\":202,\"name\":\"QUEUE_FULL\",\"message\":\"too many requests are"
                                + " waiting for this service: service=dispatch\","
                                + "\"not_run\":false,\"copy_not_run\":true,\"request_id\":\"r-1\"}"),
                received);
    }

    @Test
    void refusesWithARetryAfterDelayWhileItHasNoConfiguration() throws Exception {
        configuration.set(Configuration.empty());
        String received = send(get("/dispatch/plan", "Caller: c\r\n"));
        assertTrue(received.startsWith("HTTP/1.1 503 "), received);
        assertTrue(received.contains("\r\nResult-Code: 205\r\n"), received);
        assertTrue(received.contains("\r\nNot-Run: copy\r\n"), received);
        assertTrue(received.contains("\r\nRetry-After: 1\r\n"), received);
    }

    @Test
    void sendsNoNotRunHeaderForAnUnknownOutcome() throws Exception {
        answer.completeExceptionally(new ResultException(ResultCode.OUTCOME_UNKNOWN, ""));
        String received = send(get("/dispatch/plan", "Caller: c\r\n"));
        assertTrue(received.contains("\r\nResult-Code: 301\r\n"), received);
        assertTrue(!received.contains("Not-Run"), received);
    }

    @Test
    void refusesRequestsPastTheLimitAtOnceAndWaitsForAnswersBeyondTheIdleTimeout()
            throws Exception {
        CompletableFuture<String> first = sendAsync(get("/dispatch/plan", "Caller: c\r\n"));
        awaitRequestInProgress();
        assertRefusedAtOnce(210, "503", get("/dispatch/plan", "Caller: c\r\n"));
        Thread.sleep(700);
        answer.complete(ANSWER);
        assertTrue(first.get(5, TimeUnit.SECONDS).endsWith("done"));
    }

    @Test
    void completesRequestsInProgressBeforeItStops() throws Exception {
        CompletableFuture<String> first = sendAsync(get("/dispatch/plan", "Caller: c\r\n"));
        awaitRequestInProgress();
        server.refuseNewRequests();
        assertRefusedAtOnce(207, "503", get("/dispatch/plan", "Caller: c\r\n"));
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(server::stop);
        answer.complete(ANSWER);
        assertTrue(first.get(5, TimeUnit.SECONDS).endsWith("done"));
        stopped.get(5, TimeUnit.SECONDS);
    }

    /**
     * The answer arrives before or after the server detects that the caller closed the connection.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 300})
    void keepsServingAfterACallerDisconnects(long answerDelayMilliseconds) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream().write(bytes(get("/dispatch/plan", "Caller: c\r\n")));
            awaitRequestInProgress();
        }
        Thread.sleep(answerDelayMilliseconds);
        answer.complete(ANSWER);
        awaitNoRequestInProgress();
        assertTrue(send(get("/dispatch/plan", "Caller: c\r\n")).endsWith("done"));
    }

    /** A server's head may be as large as the exchange accepts. */
    @Test
    void relaysAnAnswerWithALargeHead() throws Exception {
        String value = "x".repeat(30_000);
        answer.complete(
                new Answer(
                        ResultCode.ANSWERED,
                        200,
                        List.of(new Header("X-Large", value)),
                        new byte[0]));
        String received = send(get("/dispatch/plan", "Caller: c\r\n"));
        assertTrue(received.startsWith("HTTP/1.1 200 "), received);
        assertTrue(received.contains("\r\nX-Large: " + value + "\r\n"), received);
    }

    @Test
    void closesTheConnectionOfACallerThatDoesNotReadItsAnswer() throws Exception {
        answer.complete(new Answer(ResultCode.ANSWERED, 200, List.of(), new byte[50_000_000]));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream().write(bytes(get("/dispatch/plan", "Caller: c\r\n")));
            awaitRequestInProgress();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (server.requestsInProgress() > 0 && System.nanoTime() < end) {
                Thread.sleep(5);
            }
            assertEquals(0, server.requestsInProgress());
        }
    }

    private void awaitRequestInProgress() throws InterruptedException {
        while (lastRequest.get() == null) {
            Thread.sleep(5);
        }
    }

    private void awaitNoRequestInProgress() throws InterruptedException {
        while (server.requestsInProgress() > 0) {
            Thread.sleep(5);
        }
    }

    private void assertRefused(int code, String status, String request) throws Exception {
        awaitNoRequestInProgress();
        assertRefusedAtOnce(code, status, request);
    }

    private void assertRefusedAtOnce(int code, String status, String request) throws Exception {
        String received = send(request);
        assertTrue(received.startsWith("HTTP/1.1 " + status + " "), received);
        assertTrue(received.contains("\r\nResult-Code: " + code + "\r\n"), received);
        assertTrue(received.contains("\r\nNot-Run: copy\r\n"), received);
        assertTrue(received.contains("{\"code\":" + code + ","), received);
    }

    private static String get(String target, String headers) {
        return "GET %s HTTP/1.1\r\nHost: h\r\n%sConnection: close\r\n\r\n"
                .formatted(target, headers);
    }

    private static String post(String body, String... headers) {
        return "POST /dispatch/orders?a=%%20b HTTP/1.1\r\nHost: h\r\n%s\r\nConnection: close\r\n\r\n%s"
                .formatted(String.join("\r\n", headers), body);
    }

    private CompletableFuture<String> sendAsync(String request) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return send(request);
                    } catch (Exception failure) {
                        throw new IllegalStateException(failure);
                    }
                });
    }

    private String send(String request) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(bytes(request));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
