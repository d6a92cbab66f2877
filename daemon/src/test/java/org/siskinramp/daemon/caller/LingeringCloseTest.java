package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.time.SystemClock;

/**
 * Guards against closed connections that are held for longer than their callers need, and against a
 * stop that does not wait for them.
 */
class LingeringCloseTest {

    private static final long TIMEOUT_MILLISECONDS = LingeringClose.LIMIT_MILLISECONDS + 5_000;
    private static final long SOON_MILLISECONDS = 1_000;

    /** More than the send and receive buffers of the kernel hold together. */
    private static final long SOCKET_BUFFER_BYTES = 64L * 1024 * 1024;

    private final CallerServer server =
            new CallerServer(
                    new PipelineProtocol(PipelineProtocol.Processed::complete),
                    new SystemClock(),
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder().build());

    @BeforeEach
    void start() {
        server.start();
        server.disableKeepAlive();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    /** Opens a connection that the server has closed and the caller has not. */
    private Socket connectAndGet() throws Exception {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout((int) TIMEOUT_MILLISECONDS);
        send(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        String answer =
                new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(answer.endsWith("/a"), answer);
        var unused = millisecondsUntil(() -> server.connectionsClosing() == 1);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static long millisecondsUntil(BooleanSupplier condition) throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(elapsed < TIMEOUT_MILLISECONDS, "condition not met in time");
            Thread.sleep(2);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    @Test
    void aConnectionIsReleasedWhenItsCallerClosesIt() throws Exception {
        connectAndGet().close();
        assertTrue(millisecondsUntil(() -> server.connectionsClosing() == 0) < SOON_MILLISECONDS);
    }

    @Test
    void aConnectionIsReleasedWhenItsCallerResetsIt() throws Exception {
        Socket socket = connectAndGet();
        socket.setSoLinger(true, 0);
        socket.close();
        assertTrue(millisecondsUntil(() -> server.connectionsClosing() == 0) < SOON_MILLISECONDS);
    }

    @Test
    void aConnectionThatItsCallerKeepsOpenIsClosedAtTheTimeLimit() throws Exception {
        Socket socket = connectAndGet();
        long elapsed = millisecondsUntil(() -> server.connectionsClosing() == 0);
        assertTrue(elapsed > LingeringClose.LIMIT_MILLISECONDS - SOON_MILLISECONDS);
        assertTrue(elapsed < LingeringClose.LIMIT_MILLISECONDS + SOON_MILLISECONDS);
        socket.close();
    }

    /** A caller that floods is slowed down by the network, and is reset at the time limit. */
    @Test
    void aCallerThatSendsWithoutEndIsNotReadWithoutEnd() throws Exception {
        try (Socket socket = connectAndGet()) {
            String piece = "x".repeat(64 * 1024);
            AtomicLong sentBytes = new AtomicLong();
            long start = System.nanoTime();
            assertThrows(
                    IOException.class,
                    () -> {
                        while (true) {
                            send(socket, piece);
                            sentBytes.addAndGet(piece.length());
                        }
                    });
            long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(elapsed > LingeringClose.LIMIT_MILLISECONDS - SOON_MILLISECONDS);
            assertEquals(0, server.connectionsClosing());
            assertTrue(sentBytes.get() < LingeringClose.LIMIT_BYTES + SOCKET_BUFFER_BYTES);
        }
    }

    @Test
    void aStopWaitsUntilTheCallerHasClosedItsConnection() throws Exception {
        Socket socket = connectAndGet();
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(server::stop);
        Thread.sleep(100);
        assertEquals(1, server.connectionsClosing());
        socket.close();
        stopped.get(SOON_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
}
