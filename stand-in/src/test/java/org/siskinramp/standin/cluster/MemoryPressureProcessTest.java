package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.upstream.UpstreamFault;

/**
 * Large uploads and answers without end at the same moment, on a gateway with the heap of the
 * deploy file. What does not fit is refused; nothing is left unanswered, and the memory is
 * returned.
 */
class MemoryPressureProcessTest {

    private static final int SERVERS = 8;
    private static final int ENDLESS_SERVERS = 3;
    private static final long SERVICE_TIME_MILLISECONDS = 100;
    private static final long REQUEST_INTERVAL_MILLISECONDS = 50;
    private static final int ROUNDS = 5;
    private static final int UPLOADS_AT_ONCE = 6;
    private static final int READS_AT_ONCE = 12;
    private static final String UPLOAD = "x".repeat(5_000_000);

    @TempDir private Path directory;

    private GatewayDeployment deployment;
    private int requests;

    @BeforeEach
    void start() throws Exception {
        deployment =
                new GatewayDeployment(
                        directory,
                        SERVERS,
                        SERVICE_TIME_MILLISECONDS,
                        REQUEST_INTERVAL_MILLISECONDS);
        deployment.configure("\"max_body_bytes\":1000000", "\"max_body_bytes\":67108864");
        deployment.startGateways(1);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    private CompletableFuture<HttpResponse<String>> send(String method, String path, String body) {
        String requestId = "request-" + ++requests;
        return deployment
                .caller(0)
                .send(method, path + requestId, body, "X-Siskinramp-Request-Id", requestId);
    }

    private int upload() {
        return send("POST", "/write/", UPLOAD).join().statusCode();
    }

    @Test
    void largeUploadsBesideEndlessAnswersAreServedOrRefused() throws Exception {
        for (int server = 0; server < ENDLESS_SERVERS; server++) {
            deployment.server(server).setFault(UpstreamFault.ENDLESS_BODY);
        }
        List<HttpResponse<String>> answers = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int number = 0; number < UPLOADS_AT_ONCE; number++) {
                sent.add(send("POST", "/write/", UPLOAD));
            }
            for (int number = 0; number < READS_AT_ONCE; number++) {
                sent.add(send("GET", "/read/", ""));
            }
            sent.forEach(answer -> answers.add(answer.join()));
        }
        ProgramProcess gateway = deployment.gateways().get(0);
        assertTrue(gateway.isAlive());
        assertFalse(gateway.output().contains("OutOfMemoryError"), gateway::output);
        assertFalse(answers.stream().anyMatch(answer -> answer.statusCode() == 500));
        assertTrue(
                answers.stream()
                        .filter(answer -> answer.statusCode() == 503)
                        .allMatch(
                                answer -> answer.headers().firstValue("Retry-After").isPresent()));

        deployment.servers().forEach(server -> server.setFault(UpstreamFault.NONE));
        TestClient.await(() -> upload() == 200);
        for (int number = 0; number < UPLOADS_AT_ONCE; number++) {
            assertEquals(200, upload(), gateway::output);
        }
    }
}
