package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.time.SystemClock;

/**
 * Guards against answers that are cut by a reset, because their connection was closed while its
 * caller had sent more. In each test the caller leaves a large answer unread until the connection
 * has been closed.
 */
class AnswersBeforeCloseTest {

    private static final int LARGE_BYTES = 100_000;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int TIMEOUT_MILLISECONDS = 5_000;
    private static final long IDLE_TIMEOUT_MILLISECONDS = 400;

    /** Longer than it takes to close a connection on the same host. */
    private static final long CLOSE_MILLISECONDS = 100;

    private static final String GET_LARGE = get("/large", "");
    private static final String LARGE_BODY = "x".repeat(LARGE_BYTES);

    private final PipelineProtocol protocol = new PipelineProtocol(this::answer);
    private final CallerServer server =
            new CallerServer(
                    protocol,
                    new SystemClock(),
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder()
                            .idleTimeoutMilliseconds(IDLE_TIMEOUT_MILLISECONDS)
                            .drainTimeoutMilliseconds(200)
                            .build());

    AnswersBeforeCloseTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        protocol.processed().forEach(request -> request.answer().cancel(false));
        server.stop();
    }

    private void answer(PipelineProtocol.Processed request) {
        switch (request.path()) {
            case "/large" -> request.complete(LARGE_BODY.getBytes(StandardCharsets.US_ASCII));
            case "/endless" -> request.complete(new byte[32 * 1024 * 1024]);
            case "/slow" -> {
                // Completed by the test.
            }
            default -> request.complete();
        }
    }

    private static String get(String path, String fields) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "condition not met in time");
            Thread.sleep(2);
        }
    }

    /** Has a large answer written that the caller does not read yet. */
    private Socket connectWithUnreadAnswer() throws Exception {
        Socket socket = connect();
        send(socket, GET_LARGE);
        await(() -> protocol.processed().size() == 1 && server.requestsInProgress() == 0);
        return socket;
    }

    private static String readAnswer(InputStream stream) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = stream.read();
            assertTrue(next >= 0, text::toString);
            text.append((char) next);
        }
        String length = text.substring(text.indexOf("Content-Length: ") + 16);
        int bytes = Integer.parseInt(length.substring(0, length.indexOf("\r\n")));
        byte[] body = stream.readNBytes(bytes);
        return text + new String(body, StandardCharsets.US_ASCII);
    }

    private static void assertLargeAnswer(InputStream stream) throws IOException {
        String answer = readAnswer(stream);
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        assertTrue(answer.endsWith("\r\n\r\n" + LARGE_BODY));
    }

    /**
     * Sends more after the connection has been closed; expects the whole large answer, an answer
     * that announces the close, and the end of the connection.
     */
    private static void assertDelivered(Socket socket, String lastStatus) throws Exception {
        Thread.sleep(CLOSE_MILLISECONDS);
        send(socket, get("/late", ""));
        Thread.sleep(CLOSE_MILLISECONDS);
        InputStream stream = socket.getInputStream();
        assertLargeAnswer(stream);
        String last = readAnswer(stream);
        assertTrue(last.startsWith("HTTP/1.1 " + lastStatus + " "), last);
        assertTrue(last.contains("Connection: close\r\n"), last);
        assertEquals(-1, stream.read());
    }

    @Test
    void aShutdownCutsNoAnswerOfACallerThatSendsAhead() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            server.disableKeepAlive();
            send(socket, get("/last", "") + get("/behind", ""));
            assertDelivered(socket, "200");
        }
    }

    @Test
    void aRefusalInAShutdownCutsNoAnswer() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            server.refuseNewRequests();
            send(socket, get("/last", "") + get("/behind", ""));
            assertDelivered(socket, "503");
        }
    }

    @Test
    void aCallerThatAsksForTheCloseAndSendsMoreIsNotCut() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            send(socket, get("/last", "Connection: close\r\n") + get("/behind", ""));
            assertDelivered(socket, "200");
        }
    }

    @Test
    void aMalformedRequestCutsNoAnswerBeforeIt() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            send(socket, "GET /last HTTP/1.1\r\nno field\r\n\r\n" + get("/behind", ""));
            assertDelivered(socket, "400");
        }
    }

    @Test
    void aHeadBeyondTheLimitCutsNoAnswerBeforeIt() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            send(socket, get("/last", "Field: " + "x".repeat(100_000) + "\r\n"));
            assertDelivered(socket, "431");
        }
    }

    @Test
    void moreBytesSentAheadThanAreKeptCutNoAnswer() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            send(socket, get("/slow", ""));
            await(() -> protocol.processed().size() == 2);
            for (int number = 0; number < 1_000; number++) {
                send(socket, get("/behind", ""));
            }
            Thread.sleep(CLOSE_MILLISECONDS);
            protocol.processed().get(1).complete();
            assertDelivered(socket, "200");
        }
    }

    @Test
    void anIdleTimeoutCutsNoAnswerThatIsStillRead() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            Thread.sleep(2 * IDLE_TIMEOUT_MILLISECONDS);
            for (int number = 0; number < 2; number++) {
                send(socket, get("/late", ""));
                Thread.sleep(CLOSE_MILLISECONDS);
            }
            assertLargeAnswer(socket.getInputStream());
            assertEquals(-1, socket.getInputStream().read());
            assertEquals(List.of("/large"), protocol.paths());
        }
    }

    @Test
    void aWriteTimeoutCutsNoAnswerBeforeTheOneThatIsNotRead() throws Exception {
        try (Socket socket = connectWithUnreadAnswer()) {
            send(socket, get("/endless", ""));
            await(() -> protocol.processed().size() == 2 && server.requestsInProgress() == 0);
            send(socket, get("/late", ""));
            Thread.sleep(CLOSE_MILLISECONDS);
            assertLargeAnswer(socket.getInputStream());
        }
    }
}
