package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Request;
import org.junit.jupiter.api.Test;
import org.siskinramp.daemon.exchange.ManualClock;

/** Guards against an answer for another request than the HTTP connection has read. */
class LookAheadTest {

    private static final String SENT =
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";

    private final PipelineProtocol protocol = new PipelineProtocol(request -> {});
    private final ManualClock clock = new ManualClock();
    private final RequestAdmission admission = new RequestAdmission(10);
    private final LookAhead lookAhead =
            new ConnectionParts(
                            new BodyMemoryBudget(1_000),
                            new HeadParser(1_000),
                            new EarlyStarter(
                                    protocol,
                                    admission,
                                    new RequestProcessor(event -> {}),
                                    (counter, amount) -> {},
                                    clock),
                            new LingeringConnections(),
                            clock)
                    .newLookAhead(new Sent());

    private static final class Sent implements LookAhead.Input {

        @Override
        public ByteBuffer copyFrom(int skippedBytes) {
            byte[] bytes = SENT.getBytes(StandardCharsets.US_ASCII);
            return ByteBuffer.wrap(bytes, skippedBytes, bytes.length - skippedBytes);
        }

        @Override
        public boolean isClosedByCaller() {
            return false;
        }
    }

    private static Request read(String path, String host) {
        ConnectionMetaData connection =
                proxy(ConnectionMetaData.class, name -> HttpVersion.HTTP_1_1);
        return proxy(
                Request.class,
                name ->
                        switch (name) {
                            case "getMethod" -> "GET";
                            case "getHttpURI" -> HttpURI.from("http://h" + path);
                            case "getHeaders" -> HttpFields.build().add("Host", host);
                            default -> connection;
                        });
    }

    private static <T> T proxy(Class<T> type, Function<String, Object> results) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (self, method, arguments) -> results.apply(method.getName())));
    }

    @Test
    void takesTheStartedRequestsInOrder() {
        lookAhead.begin(true);
        assertEquals(List.of("/a", "/b"), protocol.paths());
        assertEquals("/a", lookAhead.take(read("/a", "h")).orElseThrow().head().target());
        assertEquals("/b", lookAhead.take(read("/b", "h")).orElseThrow().head().target());
    }

    @Test
    void cancelsAllIfAnotherRequestWasRead() {
        lookAhead.begin(true);
        assertEquals(Optional.empty(), lookAhead.take(read("/a", "other")));
        assertTrue(protocol.processed().stream().allMatch(next -> next.answer().isCancelled()));
        assertEquals(0, admission.requestsInProgress().count());
        lookAhead.begin(true);
        assertEquals(2, protocol.processed().size());
    }
}
