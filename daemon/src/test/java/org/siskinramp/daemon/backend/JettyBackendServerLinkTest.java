package org.siskinramp.daemon.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.siskinramp.daemon.exchange.ScriptedServer.CLOSE;
import static org.siskinramp.daemon.exchange.ScriptedServer.SILENCE;
import static org.siskinramp.daemon.exchange.ScriptedServer.reply;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.daemon.exchange.ExchangeOptions;
import org.siskinramp.daemon.exchange.ManualClock;
import org.siskinramp.daemon.exchange.ScriptedServer;
import org.siskinramp.log.Counter;
import org.siskinramp.request.Header;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;

class JettyBackendServerLinkTest {

    private static final String ANSWER =
            reply(
                    "200 OK",
                    "body",
                    "Request-Id: order-1",
                    "Boot-Identity: b7",
                    "Load: 3",
                    "Connection: X-Hop",
                    "X-Hop: 1",
                    "X-Kept: 2",
                    "Not-Run: true");

    private final ManualClock clock = new ManualClock();
    private final AtomicLong silentConnections = new AtomicLong();
    private final JettyBackendServerLink link = newLink();
    private ScriptedServer server;

    private JettyBackendServerLink newLink() {
        return newLink(new StandardServerProtocol(number -> "entry-1/i9/" + number));
    }

    private JettyBackendServerLink newLink(ServerProtocol protocol) {
        JettyBackendServerLink created =
                new JettyBackendServerLink(
                        BackendServerLinkOptions.builder()
                                .hostName("entry-1")
                                .incarnation("i9")
                                .exchange(ExchangeOptions.builder().answerLimitBytes(100).build())
                                .build(),
                        protocol,
                        clock,
                        (delay, task) ->
                                CompletableFuture.delayedExecutor(delay, TimeUnit.MILLISECONDS)
                                        .execute(task),
                        event -> {},
                        (counter, amount) -> {
                            if (counter == Counter.SILENT_CONNECTIONS) {
                                silentConnections.addAndGet(amount);
                            }
                        });
        created.start();
        return created;
    }

    @AfterEach
    void stop() throws IOException {
        link.stop();
        if (server != null) {
            server.close();
        }
    }

    @Test
    void relaysTheCompleteAnswerWithoutHopByHopHeaders() throws Exception {
        serve(ANSWER);
        AttemptAnswer answer = dispatch(1).get(5, TimeUnit.SECONDS);
        assertEquals(200, answer.answer().status());
        assertEquals("body", new String(answer.answer().body(), StandardCharsets.UTF_8));
        assertEquals(List.of(new Header("X-Kept", "2")), answer.answer().headers());
        assertEquals(new LoadReport("b7", 3, false), answer.loadReport());
    }

    @Test
    void sendsTheProtocolHeadersWithoutHopByHopHeaders() throws Exception {
        serve(ANSWER);
        dispatch(1).get(5, TimeUnit.SECONDS);
        String sent = server.requests().get(0);
        assertTrue(sent.startsWith("POST /dispatch/orders?a=%20b HTTP/1.1\r\n"), sent);
        assertTrue(sent.contains("\r\nRequest-Id: order-1\r\n"), sent);
        assertTrue(sent.contains("\r\nCaller: crew-7\r\n"), sent);
        assertTrue(sent.contains("\r\nAttempt: entry-1/i9/1\r\n"), sent);
        assertTrue(sent.contains("\r\nRequest-Deadline: 500\r\n"), sent);
        assertTrue(sent.contains("\r\nX-Kept: 1\r\n"), sent);
        assertFalse(sent.contains("Keep-Alive"), sent);
        assertTrue(sent.endsWith("\r\n\r\nvalve 9"), sent);
    }

    @Test
    void sendsNothingIfThePermissionExpiresRightBeforeTheFirstByte() throws Exception {
        serve(ANSWER);
        AtomicInteger permissionChecks = new AtomicInteger();
        assertEquals(
                AttemptFailure.NOT_PERMITTED,
                failure(
                        link.dispatch(
                                attempt(1, false, () -> permissionChecks.incrementAndGet() == 1))));
        assertEquals(2, permissionChecks.get());
        dispatch(2).get(5, TimeUnit.SECONDS);
        assertEquals(1, server.requests().size());
    }

    @Test
    void abortsAnAnswerWithAnEndlessHead() throws Exception {
        serve("HTTP/1.1 200 OK\r\nEndless: " + "x".repeat(500_000));
        assertEquals(AttemptFailure.ANSWER_ENDLESS, failure(dispatch(1)));
        awaitClosedByPeer(1);
    }

    @Test
    void abortsAnAnswerWithAnEndlessBody() throws Exception {
        String chunk = "64\r\n" + "x".repeat(100) + "\r\n";
        serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(10));
        assertEquals(AttemptFailure.ANSWER_ENDLESS, failure(dispatch(1)));
        awaitClosedByPeer(1);
    }

    @Test
    void reportsARefusedConnection() throws Exception {
        serve(ANSWER);
        server.close();
        assertEquals(AttemptFailure.CONNECTION_REFUSED, failure(dispatch(1)));
    }

    @Test
    void reportsThatTheServerDidNotRunTheRequest() throws Exception {
        serve(reply("503 Busy", "", "Request-Id: order-1", "Not-Run: shed", "Load: 4"));
        AttemptException failure = exception(dispatch(1));
        assertEquals(AttemptFailure.SHED, failure.failure());
        assertEquals(4, failure.loadReport().requestsInProgress());
    }

    @Test
    void neverForwardsAnAnswerThatNamesAnotherRequest() throws Exception {
        serve(ANSWER.replace("order-1", "order-2"));
        assertEquals(AttemptFailure.ANSWER_CROSSED, failure(dispatch(1)));
        assertEquals(AttemptFailure.ANSWER_CROSSED, failure(dispatch(2)));
        assertEquals(2, server.connections());
    }

    @Test
    void neverForwardsTheAnswerToAnotherAttempt() throws Exception {
        serve(ANSWER.replace("Load: 3", "Attempt: entry-1/i9/1"));
        dispatch(1).get(5, TimeUnit.SECONDS);
        assertEquals(AttemptFailure.ANSWER_CROSSED, failure(dispatch(2)));
    }

    @Test
    void verifiesTheExpectedBootIdentityOncePerConnection() throws Exception {
        serve(ANSWER);
        dispatchTo("b7", 1).get(5, TimeUnit.SECONDS);
        dispatchTo("b7", 2).get(5, TimeUnit.SECONDS);
        assertEquals(1, server.connections());
        assertEquals(List.of("GET /-/load", "POST /dispa", "POST /dispa"), requestStarts());
    }

    @Test
    void sendsNothingToAServerWithAnotherBootIdentity() throws Exception {
        serve(ANSWER);
        assertBootIdentityMismatch("b7", dispatchTo("b8", 1));
        dispatch(2).get(5, TimeUnit.SECONDS);
        assertBootIdentityMismatch("b7", dispatchTo("b8", 3));
        assertEquals(List.of("GET /-/load", "POST /dispa"), requestStarts());
    }

    @Test
    void sendsNothingToAServerWithoutABootIdentityIfOneIsExpected() throws Exception {
        serve(ANSWER.replace("Boot-Identity: b7\r\n", ""));
        assertBootIdentityMismatch("", dispatchTo("b7", 1));
        assertEquals(List.of("GET /-/load"), requestStarts());
    }

    @Test
    void sendsNothingIfTheBootIdentityCheckTimesOut() throws Exception {
        serve(SILENCE);
        AttemptException failure = exception(dispatchTo("b7", 1));
        assertEquals(AttemptFailure.CONNECTION_TIMED_OUT, failure.failure());
        assertEquals(List.of("GET /-/load"), requestStarts());
        awaitClosedByPeer(1);
    }

    @Test
    void takesTheBootIdentityOfAConnectionFromAProbe() throws Exception {
        serve(ANSWER);
        link.probe(backendServer()).get(5, TimeUnit.SECONDS);
        assertBootIdentityMismatch("b7", dispatchTo("b6", 1));
        assertEquals(List.of("GET /-/load"), requestStarts());
    }

    @Test
    void neverUsesASurplusAnswerForTheNextRequest() throws Exception {
        serve(ANSWER + ANSWER.replace("body", "late"));
        dispatch(1).get(5, TimeUnit.SECONDS);
        AttemptAnswer second = dispatch(2).get(5, TimeUnit.SECONDS);
        assertEquals("body", new String(second.answer().body(), StandardCharsets.UTF_8));
    }

    @Test
    void closesAnIdleConnectionOnAnUnsolicitedAnswer() throws Exception {
        serve(ANSWER);
        dispatch(1).get(5, TimeUnit.SECONDS);
        server.push(ANSWER.replace("body", "late"));
        awaitClosedByPeer(1);
        dispatch(2).get(5, TimeUnit.SECONDS);
        assertEquals(2, server.connections());
    }

    @Test
    void reportsAShortBody() throws Exception {
        serve(ANSWER.replace("body", "bo") + CLOSE);
        assertEquals(AttemptFailure.ANSWER_INCOMPLETE, failure(dispatch(1)));
    }

    @Test
    void reportsACloseDelimitedBodyAsIncomplete() throws Exception {
        serve(ANSWER.replace("Content-Length: 4\r\n", "") + CLOSE);
        assertEquals(AttemptFailure.ANSWER_INCOMPLETE, failure(dispatch(1)));
    }

    @Test
    void reportsABrokenConnection() throws Exception {
        serve(CLOSE);
        assertEquals(AttemptFailure.CONNECTION_BROKEN, failure(dispatch(1)));
        assertEquals(1, server.requests().size());
    }

    @Test
    void reportsAnAnswerPastTheLimit() throws Exception {
        serve(ANSWER.replace("Content-Length: 4", "Content-Length: 101"));
        assertEquals(AttemptFailure.ANSWER_TOO_LARGE, failure(dispatch(1)));
    }

    @Test
    void closesTheConnectionAtTheDeadline() throws Exception {
        serve(SILENCE);
        assertEquals(AttemptFailure.TIMED_OUT, failure(dispatch(1)));
        awaitClosedByPeer(1);
        assertEquals(0, silentConnections.get());
    }

    @Test
    void closesTheConnectionOfACancelledAttempt() throws Exception {
        serve(SILENCE);
        CompletableFuture<AttemptAnswer> answer = dispatch(1);
        while (server.requests().isEmpty()) {
            Thread.sleep(5);
        }
        link.cancel(1);
        assertEquals(AttemptFailure.CANCELLED, failure(answer));
        awaitClosedByPeer(1);
    }

    /** The caller leaves at the moment at which its request is sent on an idle connection. */
    @Test
    void sendsNothingIfAnAttemptIsCancelledWhileItIsSent() throws Exception {
        serve(ANSWER);
        dispatch(1).get(5, TimeUnit.SECONDS);
        BooleanSupplier cancelling =
                () -> {
                    link.cancel(2);
                    return true;
                };
        assertEquals(
                AttemptFailure.CANCELLED, failure(link.dispatch(attempt(2, false, cancelling))));
        dispatch(3).get(5, TimeUnit.SECONDS);
        assertEquals(2, server.requests().size());
    }

    @Test
    void closesConnectionsAsOldAsOneThatStoppedResponding() throws Exception {
        AtomicInteger answers = new AtomicInteger();
        server = new ScriptedServer(request -> answers.incrementAndGet() < 3 ? ANSWER : SILENCE);
        CompletableFuture<AttemptAnswer> first = dispatch(1);
        dispatch(2).get(5, TimeUnit.SECONDS);
        first.get(5, TimeUnit.SECONDS);
        int opened = server.connections();
        assertEquals(AttemptFailure.TIMED_OUT, failure(dispatch(3)));
        awaitClosedByPeer(opened);
        assertEquals(opened, silentConnections.get());
    }

    @Test
    void opensAConnectionForAnAttemptThatNeedsANewOne() throws Exception {
        serve(ANSWER);
        dispatch(1).get(5, TimeUnit.SECONDS);
        link.dispatch(attempt(2, true, "", () -> true).onNewConnection()).get(5, TimeUnit.SECONDS);
        assertEquals(2, server.connections());
    }

    @Test
    void doesNotReuseALongIdleConnectionForNonIdempotentRequests() throws Exception {
        serve(ANSWER);
        dispatch(1).get(5, TimeUnit.SECONDS);
        dispatch(2).get(5, TimeUnit.SECONDS);
        assertEquals(1, server.connections());
        clock.advance(2001);
        link.dispatch(attempt(3, true, () -> true)).get(5, TimeUnit.SECONDS);
        assertEquals(1, server.connections());
        clock.advance(2001);
        dispatch(4).get(5, TimeUnit.SECONDS);
        assertEquals(2, server.connections());
    }

    @Test
    void readsTheLoadReportOfAProbe() throws Exception {
        serve(reply("200 OK", "", "Boot-Identity: b8", "Load: 2", "Leaving: true"));
        assertEquals(
                new LoadReport("b8", 2, true),
                link.probe(backendServer()).get(5, TimeUnit.SECONDS));
        assertTrue(server.requests().get(0).startsWith("GET /-/load HTTP/1.1\r\n"));
    }

    private void serve(String reply) throws IOException {
        server = new ScriptedServer(request -> reply);
    }

    private CompletableFuture<AttemptAnswer> dispatch(long number) {
        return link.dispatch(attempt(number, false, () -> true));
    }

    private CompletableFuture<AttemptAnswer> dispatchTo(String bootIdentity, long number) {
        return link.dispatch(attempt(number, false, bootIdentity, () -> true));
    }

    private void assertBootIdentityMismatch(
            String reported, CompletableFuture<AttemptAnswer> answer) {
        AttemptException failure = exception(answer);
        assertEquals(AttemptFailure.NOT_PERMITTED, failure.failure());
        assertEquals(new LoadReport(reported, -1, false), failure.loadReport());
    }

    private List<String> requestStarts() {
        return server.requests().stream().map(request -> request.substring(0, 11)).toList();
    }

    private Attempt attempt(long number, boolean idempotent, BooleanSupplier permission) {
        return attempt(number, idempotent, "", permission);
    }

    private Attempt attempt(
            long number, boolean idempotent, String bootIdentity, BooleanSupplier permission) {
        long now = clock.monotonicMilliseconds();
        Request request =
                Request.builder()
                        .key(new RequestKey("crew-7", "order-1"))
                        .service("dispatch")
                        .kind(new RequestKind("order", "POST", "/dispatch", idempotent, 1))
                        .method("POST")
                        .target("/dispatch/orders?a=%20b")
                        .headers(List.of(new Header("X-Kept", "1"), new Header("Keep-Alive", "5")))
                        .body("valve 9".getBytes(StandardCharsets.UTF_8))
                        .contentHash("00")
                        .build();
        return new Attempt(
                number, request, backendServer(), now + 500, false, bootIdentity, permission);
    }

    private BackendServer backendServer() {
        return new BackendServer(
                "d1",
                "dispatch",
                "host-1",
                "almaty-1",
                server.address(),
                4,
                1,
                AdministrativeState.IN);
    }

    private void awaitClosedByPeer(int connections) throws InterruptedException {
        long deadlineNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (server.closedByPeer() < connections && System.nanoTime() < deadlineNanoseconds) {
            Thread.sleep(5);
        }
        assertEquals(connections, server.closedByPeer());
    }

    /** An answer left over on a kept connection says nothing about the server. */
    @Test
    void aProbeDoesNotTakeAnAnswerThatIsNotItsOwnOnAKeptConnection() throws Exception {
        AtomicInteger answers = new AtomicInteger();
        String probeAnswer = reply("200 OK", "", "Boot-Identity: b7", "Probe: 1");
        String other = reply("200 OK", "", "Boot-Identity: b8");
        server =
                new ScriptedServer(request -> answers.incrementAndGet() == 2 ? other : probeAnswer);
        JettyBackendServerLink strict = newLink(probesMustBeMarked());
        try {
            assertEquals(
                    "b7", strict.probe(backendServer()).get(5, TimeUnit.SECONDS).bootIdentity());
            assertEquals(AttemptFailure.ANSWER_CROSSED, failure(strict.probe(backendServer())));
            assertEquals(
                    "b7", strict.probe(backendServer()).get(5, TimeUnit.SECONDS).bootIdentity());
        } finally {
            strict.stop();
        }
    }

    private static ServerProtocol probesMustBeMarked() {
        ServerProtocol standard = new StandardServerProtocol(Long::toString);
        return (ServerProtocol)
                Proxy.newProxyInstance(
                        ServerProtocol.class.getClassLoader(),
                        new Class<?>[] {ServerProtocol.class},
                        (proxy, method, arguments) ->
                                method.getName().equals("isProbeAnswer")
                                        ? ((ExchangeAnswer) arguments[0])
                                                .header("Probe")
                                                .isPresent()
                                        : method.invoke(standard, arguments));
    }

    private static AttemptFailure failure(CompletableFuture<?> future) {
        return exception(future).failure();
    }

    private static AttemptException exception(CompletableFuture<?> future) {
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> future.get(5, TimeUnit.SECONDS));
        return AttemptException.from(failure.getCause());
    }
}
