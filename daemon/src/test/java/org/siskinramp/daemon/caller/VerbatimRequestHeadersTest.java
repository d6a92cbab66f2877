package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.time.SystemClock;

/**
 * Guards against a header value that is replaced by one that differs in letter case, or whose
 * beginning is: by that of an earlier request of the connection, or of a table of common values.
 */
class VerbatimRequestHeadersTest {

    private static final int TIMEOUT_MILLISECONDS = 5_000;

    private final PipelineProtocol protocol = new PipelineProtocol(request -> {});
    private final CallerServer server =
            new CallerServer(
                    protocol,
                    new SystemClock(),
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder().drainTimeoutMilliseconds(200).build());

    VerbatimRequestHeadersTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        protocol.processed().forEach(request -> request.answer().cancel(false));
        server.stop();
    }

    private static Stream<Arguments> valuesThatDifferInCase() {
        return Stream.of(
                Arguments.of("Authorization", "Bearer key-a", "Bearer KEY-A"),
                Arguments.of("Authorization", "Bearer key-a", "BEARER KEY-A-2"),
                Arguments.of("Cookie", "session=a", "session=A"),
                Arguments.of("Cookie", "session=a", "Session=A; more=b"),
                Arguments.of("Host", "shop.example", "Shop.Example"),
                Arguments.of("Host", "Shop.Example", "shop.example:81"),
                Arguments.of("Accept", "text/x-notice", "Text/X-Notice"),
                Arguments.of("Accept-Charset", "utf-8", "UTF-8"),
                Arguments.of("Accept-Encoding", "gzip", "GZIP"),
                Arguments.of("Accept-Language", "en-US,en;q=0.5", "en-us,EN;q=0.5"),
                Arguments.of("Cache-Control", "no-cache", "No-Cache"),
                Arguments.of("Connection", "keep-alive", "Keep-Alive"),
                Arguments.of(
                        "Content-Type", "text/plain;charset=utf-8", "Text/Plain;Charset=UTF-8"),
                Arguments.of("Content-Type", "application/json", "application/JSON"),
                Arguments.of("Pragma", "no-cache", "NO-CACHE"),
                Arguments.of("User-Agent", "agent/1.0 (\u00e4)", "Agent/1.0 (\u00c4)"));
    }

    @ParameterizedTest
    @MethodSource("valuesThatDifferInCase")
    void requestsKeepTheirHeaderValues(String name, String first, String second) throws Exception {
        try (Socket socket = connect()) {
            write(socket, get("/first", name, first));
            awaitProcessed(1);
            complete(socket, 0);
            write(socket, get("/second", name, second));
            awaitProcessed(2);
            complete(socket, 1);
            write(socket, get("/third", name, first));
            awaitProcessed(3);
        }
        assertEquals(List.of(first, second, first), values(name));
    }

    /** A request whose early and later reading differ is run twice. */
    @ParameterizedTest
    @MethodSource("valuesThatDifferInCase")
    void requestsSentAheadKeepTheirHeaderValuesAndRunOnce(String name, String first, String second)
            throws Exception {
        try (Socket socket = connect()) {
            write(
                    socket,
                    get("/first", name, first)
                            + get("/second", name, second)
                            + get("/third", name, first));
            awaitProcessed(3);
            for (int index = 0; index < 3; index++) {
                complete(socket, index);
            }
        }
        assertEquals(List.of("/first", "/second", "/third"), protocol.paths());
        assertEquals(List.of(first, second, first), values(name));
    }

    /** Guards against the end of a connection being missed where values are kept as received. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "Close", "CLOSE"})
    void theConnectionEndsWithTheRequestThatClosesIt(String option) throws Exception {
        try (Socket socket = connect()) {
            write(socket, get("/first", "Connection", option) + get("/second", "Accept", "*/*"));
            awaitProcessed(1);
            complete(socket, 0);
            assertEquals(-1, socket.getInputStream().read());
        }
        assertEquals(List.of("/first"), protocol.paths());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static String get(String path, String name, String value) {
        String host = name.equals("Host") ? "" : "Host: h\r\n";
        return "GET " + path + " HTTP/1.1\r\n" + host + name + ": " + value + "\r\n\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void awaitProcessed(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (protocol.processed().size() < count) {
            assertTrue(System.nanoTime() < end, () -> "processed: " + protocol.paths());
            Thread.sleep(2);
        }
    }

    /** Answers a request and reads the answer, whose body is the path. */
    private void complete(Socket socket, int index) throws IOException {
        PipelineProtocol.Processed request = protocol.processed().get(index);
        request.complete();
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\n" + request.path())) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, text::toString);
            text.append((char) next);
        }
    }

    private List<String> values(String name) {
        return protocol.processed().stream()
                .map(processed -> processed.request().headers().get(name))
                .toList();
    }
}
