package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.time.SystemClock;

/**
 * Guards against requests that were sent ahead on a connection waiting for those before them, and
 * against their being forwarded, kept or answered when they must not be.
 */
class PipeliningTest {

    private static final int TIMEOUT_MILLISECONDS = 5_000;
    private static final long IDLE_TIMEOUT_MILLISECONDS = 500;
    private static final long TOTAL_BODY_LIMIT_BYTES = 4_000_000;

    private final PipelineProtocol protocol = new PipelineProtocol(request -> {});
    private final SystemClock clock = new SystemClock();
    private final CallerServer server =
            new CallerServer(
                    protocol,
                    clock,
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder()
                            .totalBodyLimitBytes(TOTAL_BODY_LIMIT_BYTES)
                            .drainTimeoutMilliseconds(200)
                            .idleTimeoutMilliseconds(IDLE_TIMEOUT_MILLISECONDS)
                            .build());

    PipeliningTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        protocol.processed().forEach(request -> request.answer().cancel(false));
        server.stop();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "condition not met in time");
            Thread.sleep(2);
        }
    }

    private Socket connect(String... paths) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        socket.setTcpNoDelay(true);
        send(socket, paths);
        return socket;
    }

    private static void send(Socket socket, String... paths) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String path : paths) {
            text.append("GET ").append(path).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        write(socket, text.toString());
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith(end)) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, text::toString);
            text.append((char) next);
        }
        return text.toString();
    }

    private void awaitProcessed(String... paths) throws InterruptedException {
        await(() -> protocol.processed().size() >= paths.length);
        assertEquals(List.of(paths), protocol.paths());
    }

    /** Gives the host time for what it must not do. */
    private static void pause() throws InterruptedException {
        Thread.sleep(50);
    }

    private void complete(int... indexes) {
        for (int index : indexes) {
            protocol.processed().get(index).complete();
        }
    }

    private void awaitAllCancelled() throws InterruptedException {
        await(() -> server.requestsInProgress() == 0);
        protocol.processed()
                .forEach(
                        request -> {
                            assertTrue(request.answer().isCancelled(), request.path());
                            assertFalse(request.connection().isOpen(), request.path());
                        });
    }

    /** All four are in progress at once, so they take the time of the slowest. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 45, 1_000})
    void requestsThatWereSentAheadDoNotWaitForTheFirst(int pieceBytes) throws Exception {
        String text =
                """
                GET /a HTTP/1.1
                Host: h

                GET /b HTTP/1.1
                Host: h


                GET /c HTTP/1.1
                Host: h
                Content-Length: 0

                GET /d HTTP/1.1
                Host: h

                """
                        .replace("\n", "\r\n");
        try (Socket socket = connect()) {
            for (int start = 0; start < text.length(); start += pieceBytes) {
                write(socket, text.substring(start, Math.min(text.length(), start + pieceBytes)));
                if (pieceBytes < 1_000) {
                    Thread.sleep(1);
                }
            }
            awaitProcessed("/a", "/b", "/c", "/d");
            complete(3, 1, 2, 0);
            for (String path : protocol.paths()) {
                assertTrue(readUntil(socket, "\r\n\r\n" + path).startsWith("HTTP/1.1 200 "));
            }
            assertEquals(4, protocol.processed().size());
            await(() -> server.requestsInProgress() == 0);
        }
    }

    @Test
    void atMostEightRequestsOfAConnectionAreInProgress() throws Exception {
        String[] paths = new String[20];
        for (int number = 0; number < paths.length; number++) {
            paths[number] = "/" + (char) ('a' + number);
        }
        try (Socket socket = connect(paths)) {
            await(() -> protocol.processed().size() == LookAhead.REQUEST_LIMIT);
            for (int number = 0; number < paths.length; number++) {
                pause();
                int expected = Math.min(paths.length, number + LookAhead.REQUEST_LIMIT);
                assertEquals(expected, protocol.processed().size());
                complete(number);
                readUntil(socket, "\r\n\r\n" + paths[number]);
                await(() -> protocol.processed().size() >= Math.min(paths.length, expected + 1));
            }
        }
    }

    /** Its deadline and those of the requests behind it count from their arrival all the same. */
    @Test
    void aRequestThatIsNotIdempotentWaitsAndMakesOthersWait() throws Exception {
        long sentMilliseconds = clock.monotonicMilliseconds();
        try (Socket socket = connect("/a", "/unsafe", "/b")) {
            awaitProcessed("/a");
            pause();
            long pausedMilliseconds = clock.monotonicMilliseconds();
            awaitProcessed("/a");
            complete(0);
            awaitProcessed("/a", "/unsafe");
            pause();
            awaitProcessed("/a", "/unsafe");
            complete(1);
            awaitProcessed("/a", "/unsafe", "/b");
            complete(2);
            readUntil(socket, "\r\n\r\n/b");
            for (PipelineProtocol.Processed request : protocol.processed()) {
                long arrivedMilliseconds = request.request().arrivedMilliseconds();
                assertTrue(arrivedMilliseconds >= sentMilliseconds);
                assertTrue(arrivedMilliseconds < pausedMilliseconds, request.path());
            }
        }
    }

    @Test
    void theArrivalBehindARequestThatIsNotIdempotentIsNoted() throws Exception {
        try (Socket socket = connect("/unsafe", "/a")) {
            awaitProcessed("/unsafe");
            pause();
            long pausedMilliseconds = clock.monotonicMilliseconds();
            pause();
            complete(0);
            readUntil(socket, "\r\n\r\n/unsafe");
            awaitProcessed("/unsafe", "/a");
            CallerRequest second = protocol.processed().get(1).request();
            assertTrue(second.arrivedMilliseconds() <= pausedMilliseconds);
        }
    }

    @Test
    void aRefusalIsReturnedInItsTurn() throws Exception {
        try (Socket socket = connect("/a", "/refused", "/b")) {
            awaitProcessed("/a", "/b");
            complete(1, 0);
            readUntil(socket, "\r\n\r\n/a");
            assertTrue(readUntil(socket, "}").startsWith("HTTP/1.1 401 "));
            readUntil(socket, "\r\n\r\n/b");
        }
    }

    /** What follows is left to the usual reader, and is not forwarded. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\r\n\r\n",
                "GET /b HTTP/1.1\r\n\r\n",
                "GET /b HTTP/1.1\r\nHo",
                "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET /.. HTTP/1.1\r\nHost: h\r\n\r\n"
            })
    void bytesThatAreNoRequestAreLeftToTheUsualReader(String bytes) throws Exception {
        try (Socket socket = connect()) {
            write(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + bytes);
            awaitProcessed("/a");
            pause();
            complete(0);
            readUntil(socket, "\r\n\r\n/a");
            if (bytes.endsWith("\r\n\r\n")) {
                assertTrue(readUntil(socket, "}").startsWith("HTTP/1.1 400 "));
            }
        }
        assertEquals(List.of("/a"), protocol.paths());
    }

    /** Nothing behind a response that closes the connection may reach a server later. */
    @Test
    void nothingIsPassedOnBehindARequestThatClosesTheConnection() throws Exception {
        String closing = "GET /%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        try (Socket socket = connect("/a")) {
            write(socket, closing.formatted("b"));
            send(socket, "/c");
            awaitProcessed("/a", "/b");
            complete(0, 1);
            assertTrue(
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                            .endsWith("/b"));
        }
        pause();
        awaitProcessed("/a", "/b");
    }

    /** Bytes beyond the limit are discarded, so that the answer closes the connection. */
    @Test
    void aClosingResponseCancelsTheRequestsBehindIt() throws Exception {
        try (Socket socket = connect("/a", "/b", "/c")) {
            awaitProcessed("/a", "/b", "/c");
            write(socket, "X-Padding: " + "x".repeat(2 * ReadAheadBuffer.LIMIT_BYTES));
            pause();
            complete(0);
            assertTrue(readUntil(socket, "\r\n\r\n/a").contains("Connection: close"));
            for (int number = 1; number < 3; number++) {
                PipelineProtocol.Processed request = protocol.processed().get(number);
                assertTrue(request.answer().isCancelled());
                assertFalse(request.connection().isOpen());
            }
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCallerThatLeavesCancelsAllItsRequests(boolean reset) throws Exception {
        try (Socket socket = connect("/a", "/b", "/c", "/d")) {
            awaitProcessed("/a", "/b", "/c", "/d");
            socket.setSoLinger(reset, 0);
        }
        awaitAllCancelled();
    }

    /** The idle timeout is for callers that stall, not for slow backend servers. */
    @Test
    void aRequestThatWasStartedEarlyMayTakeLongerThanTheIdleTimeout() throws Exception {
        try (Socket socket = connect("/a", "/b")) {
            awaitProcessed("/a", "/b");
            complete(0);
            readUntil(socket, "\r\n\r\n/a");
            Thread.sleep(2 * IDLE_TIMEOUT_MILLISECONDS);
            complete(1);
            readUntil(socket, "\r\n\r\n/b");
        }
    }

    /** A gateway asks right before it sends a request, when no event has told of the close. */
    @Test
    void theConnectionOfEachRequestIsFoundClosedRightAfterTheClose() throws Exception {
        Socket socket = connect("/a", "/b");
        awaitProcessed("/a", "/b");
        socket.close();
        assertFalse(protocol.processed().get(1).connection().isOpen());
        awaitAllCancelled();
    }

    @Test
    void requestsInProgressAreAnsweredDuringAShutdownAndNoMoreAreStarted() throws Exception {
        try (Socket socket = connect("/a", "/b")) {
            awaitProcessed("/a", "/b");
            server.refuseNewRequests();
            send(socket, "/c");
            pause();
            complete(1, 0);
            assertFalse(readUntil(socket, "\r\n\r\n/a").contains("Connection: close"));
            assertTrue(readUntil(socket, "\r\n\r\n/b").contains("Connection: close"));
        }
        assertEquals(List.of("/a", "/b"), protocol.paths());
    }

    @Test
    void theEndOfTheShutdownCancelsAll() throws Exception {
        try (Socket socket = connect("/a", "/b", "/c")) {
            awaitProcessed("/a", "/b", "/c");
            server.stop();
            assertEquals(-1, socket.getInputStream().read());
        }
        awaitAllCancelled();
    }

    /** What does not fit is dropped, and processed again in its turn if the caller reads on. */
    @Test
    void answersThatWaitTakeBoundedMemory() throws Exception {
        int connections = 250;
        int answerBytes = 100_000;
        List<Socket> sockets = new ArrayList<>();
        for (int number = 1; number <= connections; number++) {
            int expected = 4 * number;
            sockets.add(connect("/a", "/b", "/c", "/d"));
            await(() -> protocol.processed().size() == expected);
        }
        protocol.processed().stream()
                .filter(request -> !request.path().equals("/a"))
                .forEach(request -> request.complete(new byte[answerBytes]));
        assertTrue(server.reservedBytes() > TOTAL_BODY_LIMIT_BYTES / 2 - 2L * answerBytes);
        assertTrue(server.reservedBytes() <= TOTAL_BODY_LIMIT_BYTES / 2);
        assertTrue(server.requestsInProgress() < 2 * connections);
        Socket last = sockets.remove(connections - 1);
        for (Socket socket : sockets) {
            socket.close();
        }
        complete(4 * connections - 4);
        readUntil(last, "\r\n\r\n/a");
        int expected = 4 * connections;
        for (String path : List.of("/b", "/c", "/d")) {
            int index = expected++;
            await(() -> protocol.processed().size() == index + 1);
            complete(index);
            readUntil(last, "\r\n\r\n" + path);
        }
        last.close();
        await(() -> server.reservedBytes() == 0 && server.requestsInProgress() == 0);
    }
}
