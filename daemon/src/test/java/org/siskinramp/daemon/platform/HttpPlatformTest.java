package org.siskinramp.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.siskinramp.daemon.exchange.ScriptedServer.CLOSE;
import static org.siskinramp.daemon.exchange.ScriptedServer.SILENCE;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.daemon.exchange.ScriptedServer;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.SystemClock;

class HttpPlatformTest {

    private static final RowKey CLAIM = new RowKey("claims", "crew-7/4711");

    private ScriptedServer server;
    private HttpPlatform platform;

    @AfterEach
    void stop() throws IOException {
        platform.stop();
        server.close();
    }

    @Test
    void commitsWritesWithTheirConditions() throws Exception {
        serve(json(200, "{\"versions\": [1, 0]}"));
        platform.commit(
                        List.of(
                                Write.insert(CLAIM, "x"),
                                Write.delete(new RowKey("objects", "host/h1"), 3)))
                .get(5, TimeUnit.SECONDS);
        String sent = server.requests().get(0);
        assertTrue(sent.startsWith("POST /v1/transactions HTTP/1.1\r\n"), sent);
        assertEquals(
                "{\"writes\":[{\"table\":\"claims\",\"key\":\"crew-7/4711\",\"value\":\"x\","
                        + "\"expected_version\":0},{\"table\":\"objects\",\"key\":\"host/h1\","
                        + "\"value\":null,\"expected_version\":3}]}",
                sent.substring(sent.indexOf("\r\n\r\n") + 4));
    }

    @Test
    void theResultCodeSaysWhetherAFailedWriteMayHaveTakenEffect() throws Exception {
        assertEquals(ResultCode.CONDITION_FAILED, writeResult(json(409, "{\"failed\": [0]}")));
        assertEquals(ResultCode.PLATFORM_UNAVAILABLE, writeResult(json(503, "{}")));
        assertEquals(ResultCode.PLATFORM_UNAVAILABLE, writeResult(json(400, "{}")));
        assertEquals(ResultCode.PLATFORM_ANSWER_LOST, writeResult(json(504, "{}")));
        assertEquals(ResultCode.PLATFORM_ANSWER_LOST, writeResult(json(500, "{}")));
        assertEquals(ResultCode.PLATFORM_ANSWER_LOST, writeResult(CLOSE));
        assertEquals(ResultCode.PLATFORM_ANSWER_LOST, writeResult(SILENCE));
    }

    @Test
    void aWriteWithoutAConnectionHasNoEffect() throws Exception {
        serve(CLOSE);
        server.close();
        assertEquals(
                ResultCode.PLATFORM_UNAVAILABLE,
                code(platform.commit(List.of(Write.insert(CLAIM, "x")))));
    }

    @Test
    void everyFailedReadReportsThePlatformUnavailable() throws Exception {
        for (String reply : List.of(json(504, "{}"), CLOSE, SILENCE, json(200, "{\"rows\":"))) {
            serve(reply);
            assertEquals(
                    ResultCode.PLATFORM_UNAVAILABLE, code(platform.read(List.of(CLAIM))), reply);
            stop();
        }
    }

    @Test
    void readsRowsObjectsNamesAndHosts() throws Exception {
        serve(
                request -> {
                    if (request.startsWith("POST /v1/reads ")
                            || request.startsWith(
                                    "GET /v1/tables/claims?prefix=a%20b&after=&limit=7 ")) {
                        return json(
                                200,
                                "{\"rows\":[{\"table\":\"claims\",\"key\":\"crew-7/4711\","
                                        + "\"version\":2,\"value\":\"x\"}]}");
                    }
                    if (request.startsWith("GET /v1/objects/answers%2F4711 ")) {
                        return json(200, "kept");
                    }
                    if (request.startsWith("GET /v1/objects?prefix=answers%2F ")) {
                        return json(200, "{\"names\":[\"answers/4711\"]}");
                    }
                    return request.startsWith("GET /v1/hosts ")
                            ? json(
                                    200,
                                    "{\"hosts\":[{\"name\":\"entry-1\",\"availability_zone\":"
                                            + "\"almaty-1\",\"peer_address\":\"127.0.0.1:7001\","
                                            + "\"leaving\":true}]}")
                            : json(404, "");
                });
        List<Row> rows = List.of(new Row(CLAIM, 2, "x"));
        assertEquals(rows, platform.read(List.of(CLAIM)).get());
        assertEquals(rows, platform.scan("claims", "a b", "", 7).get());
        assertArrayEquals(
                "kept".getBytes(StandardCharsets.UTF_8),
                platform.getObject("answers/4711").get().orElseThrow());
        assertEquals(Optional.empty(), platform.getObject("none").get());
        assertEquals(List.of("answers/4711"), platform.listObjects("answers/").get());
        assertEquals(
                List.of(new ListedHost("entry-1", "almaty-1", "127.0.0.1:7001", true)),
                platform.hosts().get());
    }

    @Test
    void aCallAfterAnUnansweredOneUsesANewConnection() throws Exception {
        serve(request -> request.contains("silent") ? SILENCE : json(200, "{\"names\":[]}"));
        platform.listObjects("a").get(5, TimeUnit.SECONDS);
        assertEquals(ResultCode.PLATFORM_UNAVAILABLE, code(platform.listObjects("silent")));
        platform.listObjects("b").get(5, TimeUnit.SECONDS);
        assertEquals(2, server.connections());
    }

    private ResultCode writeResult(String reply) throws Exception {
        serve(reply);
        ResultCode transaction = code(platform.commit(List.of(Write.insert(CLAIM, "x"))));
        assertEquals(transaction, code(platform.putObject("a/b", new byte[] {1})));
        stop();
        return transaction;
    }

    private void serve(String reply) throws IOException {
        serve(request -> reply);
    }

    private void serve(UnaryOperator<String> script) throws IOException {
        server = new ScriptedServer(script);
        platform =
                new HttpPlatform(
                        HttpPlatformOptions.builder()
                                .address(server.address())
                                .timeoutMilliseconds(1000)
                                .build(),
                        new SystemClock(),
                        (delay, task) ->
                                CompletableFuture.delayedExecutor(delay, TimeUnit.MILLISECONDS)
                                        .execute(task),
                        event -> {},
                        (counter, amount) -> {});
        platform.start();
    }

    private static String json(int status, String body) {
        return ScriptedServer.reply(status + " Status", body);
    }

    private static ResultCode code(CompletableFuture<?> future) {
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> future.get(5, TimeUnit.SECONDS));
        return ResultException.from(failure.getCause()).code();
    }
}
