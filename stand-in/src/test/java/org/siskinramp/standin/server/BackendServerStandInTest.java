package org.siskinramp.standin.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.standin.ManualTime;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.http.Addresses;
import org.siskinramp.standin.http.Json;

final class BackendServerStandInTest {

    private final ManualTime time = new ManualTime();
    private BackendServerStandIn server;
    private TestClient client;

    @AfterEach
    void stop() {
        server.close();
    }

    @Test
    void requestBeyondTheSlotsWaitsAndRequestBeyondTheQueueLimitIsShed()
            throws InterruptedException {
        start(settings().slots(1).queueLimit(1));
        CompletableFuture<HttpResponse<String>> first = order("1");
        awaitInProgress(1);
        CompletableFuture<HttpResponse<String>> second = order("2");
        awaitInProgress(2);
        HttpResponse<String> third = order("3").join();
        assertEquals(503, third.statusCode());
        assertEquals("shed", third.headers().firstValue("Not-Run").orElse(""));
        time.advance(200);
        assertTrue(first.join().body().contains("\"request_id\":\"1\""));
        assertTrue(second.join().body().contains("\"request_id\":\"2\""));
        assertEquals(2, statistics().overLimit());
        assertEquals(2, statistics().runs());
        assertEquals("{\"runs\":0}", client.get("/-/judge/runs?caller=c&request_id=3").body());
    }

    @Test
    void repeatedRunOfANonIdempotentRequestIsCounted() throws InterruptedException {
        start(settings());
        CompletableFuture<HttpResponse<String>> first = order("1");
        CompletableFuture<HttpResponse<String>> second = order("1");
        awaitInProgress(2);
        time.advance(100);
        first.join();
        second.join();
        assertEquals(1, statistics().doubled().size());
        assertEquals("1", statistics().doubled().get(0).requestId());
    }

    @Test
    void answerRepeatsTheAttempt() throws InterruptedException {
        start(settings());
        CompletableFuture<HttpResponse<String>> answer =
                client.send("GET", "/a", "", "Request-Id", "1", "Attempt", "entry-1/5/9");
        awaitInProgress(1);
        time.advance(100);
        assertEquals("entry-1/5/9", answer.join().headers().firstValue("Attempt").orElse(""));
    }

    @Test
    void closedConnectionCancelsTheRequest() throws Exception {
        start(settings());
        var address = Addresses.parseLoopback(server.address());
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String request = "GET /a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            awaitInProgress(1);
        }
        TestClient.await(
                () -> {
                    time.advance(1);
                    return statistics().cancelled() == 1;
                });
        assertEquals(0, statistics().inProgress());
    }

    @Test
    void passedDeadlineEndsTheRequest() throws InterruptedException {
        start(settings());
        CompletableFuture<HttpResponse<String>> answer =
                client.send(
                        "GET",
                        "/a",
                        "",
                        "Request-Deadline",
                        "30",
                        "Request-Id",
                        "1",
                        "Attempt",
                        "h/i/1");
        awaitInProgress(1);
        time.advance(40);
        assertEquals(504, answer.join().statusCode());
        assertEquals(1, statistics().expired());
        assertEquals("h/i/1", answer.join().headers().firstValue("Attempt").orElse(""));
    }

    @Test
    void coldServerCrashesUnderLoadAndRestartsWithANewBootIdentity() throws InterruptedException {
        start(settings().coldStart(1, 10).crashOnColdOverload(true).restartDelayMilliseconds(50));
        String before = statistics().bootIdentity();
        CompletableFuture<HttpResponse<String>> first = order("1");
        awaitInProgress(1);
        CompletableFuture<HttpResponse<String>> second = order("2");
        TestClient.await(() -> statistics().crashes() == 1);
        time.advance(1);
        assertThrows(CompletionException.class, first::join);
        assertThrows(CompletionException.class, second::join);
        assertThrows(CompletionException.class, () -> client.get("/-/load"));
        time.advance(50);
        assertNotEquals(before, statistics().bootIdentity());
        assertEquals(1, statistics().coldOverload());
    }

    @Test
    void coldServerIsWarmAfterEnoughRequests() throws InterruptedException {
        start(settings().coldStart(1, 1));
        runOne("1");
        CompletableFuture<HttpResponse<String>> second = order("2");
        CompletableFuture<HttpResponse<String>> third = order("3");
        awaitInProgress(2);
        time.advance(100);
        second.join();
        third.join();
        assertEquals(0, statistics().coldOverload());
    }

    @Test
    void drainingServerFinishesRequestsInProgressAndRefusesNewOnes() throws InterruptedException {
        start(settings());
        CompletableFuture<HttpResponse<String>> first = order("1");
        awaitInProgress(1);
        client.post("/-/faults", "{\"drain\":true}");
        assertEquals("leaving", order("2").join().headers().firstValue("Not-Run").orElse(""));
        assertEquals("true", client.get("/-/load").headers().firstValue("Leaving").orElse("false"));
        time.advance(100);
        assertEquals(200, first.join().statusCode());
    }

    @Test
    void crossedAnswersNameTheOtherRequest() throws InterruptedException {
        start(settings());
        client.post("/-/faults", "{\"cross_answers\":true}");
        CompletableFuture<HttpResponse<String>> first = order("1");
        awaitInProgress(1);
        CompletableFuture<HttpResponse<String>> second = order("2");
        awaitInProgress(2);
        time.advance(100);
        assertEquals("2", first.join().headers().firstValue("Request-Id").orElse(""));
        assertEquals("1", second.join().headers().firstValue("Request-Id").orElse(""));
    }

    @Test
    void shortBodyAndCrashOnContentBreakTheAnswer() throws InterruptedException {
        start(settings());
        client.post("/-/faults", "{\"short_body\":5}");
        CompletableFuture<HttpResponse<String>> first = order("1");
        awaitInProgress(1);
        time.advance(100);
        assertThrows(CompletionException.class, first::join);
        client.post("/-/faults", "{\"short_body\":-1,\"crash_on_content\":\"poison\"}");
        CompletableFuture<HttpResponse<String>> second =
                client.send("POST", "/a", "some poison", "Request-Id", "2");
        TestClient.await(() -> statistics().crashes() == 1);
        time.advance(1);
        assertThrows(CompletionException.class, second::join);
    }

    @Test
    void reportedLoadLags() throws InterruptedException {
        start(settings().reportLagMilliseconds(50));
        CompletableFuture<HttpResponse<String>> first = order("1");
        awaitInProgress(1);
        assertEquals("0", client.get("/-/load").headers().firstValue("Load").orElse(""));
        time.advance(50);
        assertEquals("1", client.get("/-/load").headers().firstValue("Load").orElse(""));
        time.advance(50);
        first.join();
    }

    private static ServerSettings.Builder settings() {
        return ServerSettings.builder()
                .name("s")
                .meanServiceTimeMilliseconds(100)
                .distribution(Distribution.CONSTANT);
    }

    private void start(ServerSettings.Builder settings) {
        server = BackendServerStandIn.start(settings.build(), time, time);
        client = new TestClient(server.address());
    }

    private void runOne(String requestId) throws InterruptedException {
        CompletableFuture<HttpResponse<String>> answer = order(requestId);
        awaitInProgress(1);
        time.advance(100);
        answer.join();
    }

    private CompletableFuture<HttpResponse<String>> order(String requestId) {
        return client.send("POST", "/a", "order", "Caller", "c", "Request-Id", requestId);
    }

    private void awaitInProgress(int count) throws InterruptedException {
        TestClient.await(() -> statistics().inProgress() == count);
    }

    private ExecutionStatistics statistics() {
        byte[] body = client.get("/-/judge").body().getBytes(StandardCharsets.UTF_8);
        return Json.read(body, ExecutionStatistics.class);
    }
}
