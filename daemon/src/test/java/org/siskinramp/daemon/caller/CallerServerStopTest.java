package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.daemon.exchange.ManualClock;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;

/**
 * Guards against a shutdown that does not wait for refusals: a request that arrives after {@link
 * CallerServer#refuseNewRequests} counts as in progress until its refusal is written.
 */
class CallerServerStopTest {

    private final CountDownLatch refusing = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final CallerServer server =
            new CallerServer(
                    new BlockingRefusalProtocol(),
                    new ManualClock(),
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder().host("127.0.0.1").build());

    @AfterEach
    void stop() {
        released.countDown();
        server.stop();
    }

    @Test
    void aRefusalIsInProgressUntilItIsWritten() throws Exception {
        server.start();
        server.refuseNewRequests();
        CompletableFuture<String> received = CompletableFuture.supplyAsync(this::sendRequest);
        assertTrue(refusing.await(5, TimeUnit.SECONDS));
        assertEquals(1, server.requestsInProgress());
        released.countDown();
        assertTrue(received.get(5, TimeUnit.SECONDS).startsWith("HTTP/1.1 503 "));
        while (server.requestsInProgress() > 0) {
            Thread.sleep(5);
        }
    }

    private String sendRequest() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] received = socket.getInputStream().readAllBytes();
            return new String(received, StandardCharsets.US_ASCII);
        } catch (IOException failure) {
            return failure.toString();
        }
    }

    private final class BlockingRefusalProtocol implements CallerProtocol {

        @Override
        public AcceptedRequest read(CallerRequest request) {
            throw new IllegalStateException("not reached");
        }

        @Override
        public String requestIdOf(Request request) {
            return "r-1";
        }

        @Override
        public void addHeaders(Answer answer, String requestId, HttpFields.Mutable headers) {
            // Not called: every request of this test is refused.
        }

        @Override
        public void addHeaders(
                ResultException refusal, String requestId, HttpFields.Mutable headers) {
            refusing.countDown();
            try {
                released.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public int statusOf(ResultException refusal) {
            return 503;
        }
    }
}
