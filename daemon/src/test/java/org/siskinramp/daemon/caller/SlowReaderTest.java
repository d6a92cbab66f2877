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
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.SystemClock;

/**
 * Guards against large responses that callers do not read to their end: they must not be held for
 * longer than the idle timeout, and their announced length must show that they were cut.
 */
class SlowReaderTest {

    private static final int BODY_BYTES = 32 * 1024 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final long IDLE_TIMEOUT_MILLISECONDS = 1_000;
    private static final int TIMEOUT_MILLISECONDS = 8_000;

    private final CallerServer server =
            new CallerServer(
                    new LargeAnswerProtocol(),
                    new SystemClock(),
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder()
                            .host("127.0.0.1")
                            .idleTimeoutMilliseconds(IDLE_TIMEOUT_MILLISECONDS)
                            .build());

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private Socket request() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        socket.getOutputStream()
                .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private void awaitNoRequestInProgress() throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT_MILLISECONDS * 1_000_000L;
        while (server.requestsInProgress() > 0) {
            assertTrue(System.nanoTime() < end, "the response is still held");
            Thread.sleep(10);
        }
    }

    private static long readToEnd(InputStream stream) {
        long bytes = 0;
        try {
            for (int read = 0; read >= 0; read = stream.read(new byte[64 * 1024])) {
                bytes += read;
            }
        } catch (IOException reset) {
            return bytes;
        }
        return bytes;
    }

    @Test
    void aResponseThatIsNotReadIsReleasedAndLooksCut() throws Exception {
        try (Socket socket = request()) {
            String start =
                    new String(
                            socket.getInputStream().readNBytes(1_024), StandardCharsets.US_ASCII);
            assertTrue(start.contains("Content-Length: " + BODY_BYTES + "\r\n"), start);
            awaitNoRequestInProgress();
            assertTrue(readToEnd(socket.getInputStream()) < BODY_BYTES - 1_024);
        }
    }

    @Test
    void aResponseWhoseCallerLeavesIsReleased() throws Exception {
        try (Socket socket = request()) {
            assertEquals(1_024, socket.getInputStream().readNBytes(1_024).length);
            assertEquals(1, server.requestsInProgress());
        }
        awaitNoRequestInProgress();
    }

    /** A caller that reads for three idle timeouts makes progress, however slow it is. */
    @Test
    void aResponseThatIsReadSlowlyIsNotCut() throws Exception {
        try (Socket socket = request()) {
            for (int second = 0; second < 3 * 10; second++) {
                assertEquals(1_024, socket.getInputStream().readNBytes(1_024).length);
                Thread.sleep(IDLE_TIMEOUT_MILLISECONDS / 10);
            }
            assertEquals(1, server.requestsInProgress());
        }
    }

    /** Answers each request with a large body. */
    private static final class LargeAnswerProtocol implements CallerProtocol {

        @Override
        public AcceptedRequest read(CallerRequest request) {
            return new AcceptedRequest() {
                @Override
                public String requestId() {
                    return "r-1";
                }

                @Override
                public long deadlineMilliseconds() {
                    return 0;
                }

                @Override
                public CompletableFuture<Answer> process(byte[] body, CallerConnection connection) {
                    byte[] large = new byte[BODY_BYTES];
                    return CompletableFuture.completedFuture(
                            new Answer(ResultCode.ANSWERED, 200, List.of(), large));
                }
            };
        }

        @Override
        public String requestIdOf(Request request) {
            return "r-1";
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
}
