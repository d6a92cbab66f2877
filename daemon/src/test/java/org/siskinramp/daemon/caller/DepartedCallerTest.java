package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.SystemClock;

/** Callers close their connection, or send more on it, before they are answered. */
class DepartedCallerTest {

    private static final long TIMEOUT_MILLISECONDS = 5_000;
    private static final long TOTAL_BODY_LIMIT_BYTES = 100_000;
    private static final int CONCURRENT_REQUEST_LIMIT = 10;
    private static final int KEPT_CONNECTION_REQUESTS = 2_000;

    private final CountDownLatch reading = new CountDownLatch(1);
    private final CountDownLatch readingAllowed = new CountDownLatch(1);
    private final List<Processed> processed = new CopyOnWriteArrayList<>();
    private final CallerServer server =
            new CallerServer(
                    new ScriptedProtocol(),
                    new SystemClock(),
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder()
                            .totalBodyLimitBytes(TOTAL_BODY_LIMIT_BYTES)
                            .concurrentRequestLimit(CONCURRENT_REQUEST_LIMIT)
                            .build());

    DepartedCallerTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        processed.forEach(request -> request.answer.cancel(false));
        server.stop();
    }

    /** A request that was handed to the gateway. */
    private record Processed(
            String path, CallerConnection connection, CompletableFuture<Answer> answer) {

        void complete() {
            answer.complete(
                    new Answer(
                            ResultCode.ANSWERED,
                            200,
                            List.of(),
                            path.getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Delays the reading of requests to {@code /delayed}. */
    private final class ScriptedProtocol implements CallerProtocol {

        @Override
        public AcceptedRequest read(CallerRequest request) {
            String path = request.uri().getPath();
            if (path.equals("/delayed")) {
                reading.countDown();
                awaitUninterruptibly(readingAllowed);
            }
            return new AcceptedRequest() {
                @Override
                public String requestId() {
                    return path;
                }

                @Override
                public long deadlineMilliseconds() {
                    return 0;
                }

                @Override
                public CompletableFuture<Answer> process(byte[] body, CallerConnection connection) {
                    CompletableFuture<Answer> answer = new CompletableFuture<>();
                    processed.add(new Processed(path, connection, answer));
                    return answer;
                }
            };
        }

        @Override
        public String requestIdOf(Request request) {
            return null;
        }

        @Override
        public void addHeaders(Answer answer, String requestId, HttpFields.Mutable headers) {}

        @Override
        public void addHeaders(
                ResultException refusal, String requestId, HttpFields.Mutable headers) {}

        @Override
        public int statusOf(ResultException refusal) {
            return refusal.code().httpStatus();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "condition not met in time");
            Thread.sleep(2);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout((int) TIMEOUT_MILLISECONDS);
        return socket;
    }

    private static String get(String path, int paddingBytes) {
        return "GET %s HTTP/1.1\r\nHost: h\r\nX-Padding: %s\r\n\r\n"
                .formatted(path, "x".repeat(paddingBytes));
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a request and waits until it is in progress. */
    private void sendFirst(Socket socket) throws Exception {
        write(socket, get("/first", 0));
        await(() -> processed.size() == 1);
    }

    private static String readAnswer(Socket socket, String path) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\n" + path)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** The host was slow, so that the request and the close are read at the same time. */
    @Test
    void aRequestWhoseCallerLeftBeforeItWasReadIsNotProcessed() throws Exception {
        try (Socket socket = connect()) {
            write(socket, get("/delayed", 0));
            awaitUninterruptibly(reading);
        }
        readingAllowed.countDown();
        await(() -> server.requestsInProgress() == 0);
        assertEquals(List.of(), processed);
    }

    @Test
    void theConnectionIsFoundClosedRightAfterTheClose() throws Exception {
        try (Socket socket = connect()) {
            sendFirst(socket);
            assertTrue(processed.get(0).connection.isOpen());
        }
        assertFalse(processed.get(0).connection.isOpen());
        assertTrue(processed.get(0).answer.isCancelled());
    }

    @Test
    void requestsThatWereSentAheadAreAnsweredInOrder() throws Exception {
        try (Socket socket = connect()) {
            sendFirst(socket);
            write(socket, get("/second", 3_000));
            Thread.sleep(50);
            assertTrue(processed.get(0).connection.isOpen());
            write(socket, get("/third", 3_000));
            Thread.sleep(50);
            assertTrue(processed.get(0).connection.isOpen());
            for (int number = 0; number < 3; number++) {
                int index = number;
                await(() -> processed.size() == index + 1);
                Processed request = processed.get(number);
                request.complete();
                assertTrue(readAnswer(socket, request.path).startsWith("HTTP/1.1 200 "));
            }
        }
        assertEquals("/third", processed.get(2).path);
    }

    /** A look after the answer must not take bytes that the HTTP connection waits for. */
    @Test
    void looksAfterTheAnswerDoNotDelayTheNextRequest() throws Exception {
        AtomicReference<CallerConnection> connection =
                new AtomicReference<>(CallerConnection.ALWAYS_OPEN);
        AtomicBoolean looking = new AtomicBoolean(true);
        Thread looker =
                new Thread(
                        () -> {
                            while (looking.get()) {
                                assertTrue(connection.get().isOpen());
                            }
                        });
        looker.start();
        try (Socket socket = connect()) {
            for (int number = 0; number < KEPT_CONNECTION_REQUESTS; number++) {
                int index = number;
                write(socket, get("/next", 0));
                await(() -> processed.size() == index + 1);
                connection.set(processed.get(number).connection);
                processed.get(number).complete();
                assertTrue(readAnswer(socket, "/next").startsWith("HTTP/1.1 200 "));
            }
            looking.set(false);
            looker.join();
        } finally {
            looking.set(false);
        }
    }

    @Test
    void aCallerThatSendsAheadAndLeavesIsNoticed() throws Exception {
        try (Socket socket = connect()) {
            sendFirst(socket);
            write(socket, get("/second", 3_000));
            Thread.sleep(50);
        }
        await(() -> processed.get(0).answer.isCancelled());
    }

    /** A half-close counts as leaving, as in other proxies; there is no answer of our own. */
    @Test
    void aCallerThatClosesOnlyItsSendingSideGetsNoAnswer() throws Exception {
        try (Socket socket = connect()) {
            sendFirst(socket);
            socket.shutdownOutput();
            assertEquals("", readAnswer(socket, "/first"));
        }
        assertTrue(processed.get(0).answer.isCancelled());
    }

    /**
     * However the request arrives, the close is noticed by an event alone. In the requests, {@code
     * ;} is the end of a line and {@code |} that of a packet.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /first HTTP/1.1;Host: h;;",
                "GET /first HTTP/1.1;|Host: h;|;",
                "POST /first HTTP/1.1;Host: h;Content-Length: 4;;body",
                "POST /first HTTP/1.1;Host: h;Content-Length: 4;;|bo|dy",
                "POST /first HTTP/1.1;Host: h;Transfer-Encoding: chunked;;|2;bo;|2;dy;0;|;",
            })
    void aCallerThatLeavesIsNoticed(String request) throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            processed.clear();
            try (Socket socket = connect()) {
                socket.setTcpNoDelay(true);
                for (String piece : request.split("\\|", -1)) {
                    write(socket, piece.replace(";", "\r\n"));
                    Thread.sleep(20);
                }
                await(() -> processed.size() == 1);
                socket.setSoLinger(reset, 0);
            }
            await(() -> processed.get(0).answer.isCancelled());
        }
    }

    /** What exceeds the limit is discarded, so the connection is closed after the answer. */
    @Test
    void aCallerThatSendsTooMuchAheadIsAnsweredOnceAndItsLeavingIsNoticed() throws Exception {
        for (boolean leaves : new boolean[] {false, true}) {
            processed.clear();
            try (Socket socket = connect()) {
                sendFirst(socket);
                for (int next = 0; next < 5; next++) {
                    write(socket, get("/next", 6_000));
                }
                Thread.sleep(50);
                if (!leaves) {
                    processed.get(0).complete();
                    String answer = readAnswer(socket, "/first");
                    assertTrue(answer.contains("Connection: close"), answer);
                    assertEquals(-1, socket.getInputStream().read());
                }
            }
            await(() -> processed.get(0).answer.isDone());
            assertEquals(leaves, processed.get(0).answer.isCancelled());
            assertEquals(1, processed.size());
        }
    }

    @Test
    void theMemoryOfBytesSentAheadIsReleased() throws Exception {
        int bytesAhead = ReadAheadBuffer.LIMIT_BYTES - 2_000;
        long connections = 2 * TOTAL_BODY_LIMIT_BYTES / bytesAhead;
        for (int number = 0; number < connections; number++) {
            processed.clear();
            try (Socket socket = connect()) {
                sendFirst(socket);
                write(socket, "G" + "E".repeat(bytesAhead));
                Thread.sleep(20);
            }
            await(() -> processed.get(0).answer.isCancelled());
        }
        processed.clear();
        try (Socket socket = connect()) {
            sendFirst(socket);
            write(socket, get("/second", 3_000));
            Thread.sleep(50);
            assertTrue(processed.get(0).connection.isOpen());
            processed.get(0).complete();
            readAnswer(socket, "/first");
            await(() -> processed.size() == 2);
        }
    }
}
