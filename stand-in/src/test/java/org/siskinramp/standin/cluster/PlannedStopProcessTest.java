package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Callers keep sending unsafe requests to a gateway that shuts down in calm. */
class PlannedStopProcessTest {

    private static final int SERVERS = 30;

    /** The work of a request that is accepted shortly before the end outlasts the shutdown. */
    private static final long SERVICE_TIME_MILLISECONDS = 3_000;

    private static final long REQUEST_INTERVAL_MILLISECONDS = 60;
    private static final long STOP_AFTER_MILLISECONDS = 600;
    private static final int REFUSED = 503;
    private static final int NO_ANSWER = 0;

    @TempDir private Path directory;

    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private GatewayDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment =
                new GatewayDeployment(
                        directory,
                        SERVERS,
                        SERVICE_TIME_MILLISECONDS,
                        REQUEST_INTERVAL_MILLISECONDS);
        deployment.configure("\"timeout_ms\":1200", "\"timeout_ms\":4000");
        deployment.configure("\"timeout_ms\":1500", "\"timeout_ms\":4000");
        deployment.startGateways(1);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    private CompletableFuture<Void> write(String requestId) {
        return deployment
                .write(requestId, "body")
                .handle(
                        (answer, failure) -> {
                            statuses.put(
                                    requestId, failure == null ? answer.statusCode() : NO_ANSWER);
                            return null;
                        });
    }

    @Test
    void noRequestThatReachedAServerIsCutAtTheEndOfTheShutdown() throws Exception {
        ProgramProcess gateway = deployment.gateways().get(0);
        List<CompletableFuture<Void>> requests = new ArrayList<>();
        CompletableFuture<Integer> exit = new CompletableFuture<>();
        long start = System.nanoTime();
        boolean terminated = false;
        for (int number = 0; !exit.isDone(); number++) {
            if (!terminated && System.nanoTime() - start > STOP_AFTER_MILLISECONDS * 1_000_000) {
                exit = CompletableFuture.supplyAsync(gateway::terminate);
                terminated = true;
            }
            requests.add(write("write-" + number));
            Thread.sleep(REQUEST_INTERVAL_MILLISECONDS);
        }
        CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new)).join();

        List<String> cut = new ArrayList<>();
        List<String> refusedAndRun = new ArrayList<>();
        statuses.forEach(
                (requestId, status) -> {
                    if (deployment.runs(requestId) > 0 && status == NO_ANSWER) {
                        cut.add(requestId);
                    }
                    if (deployment.runs(requestId) > 0 && status == REFUSED) {
                        refusedAndRun.add(requestId);
                    }
                });
        long answered = statuses.values().stream().filter(status -> status == 200).count();
        assertEquals(List.of(), cut, "cut without an answer, of " + statuses.size());
        assertEquals(List.of(), refusedAndRun);
        assertTrue(answered > STOP_AFTER_MILLISECONDS / REQUEST_INTERVAL_MILLISECONDS, "answered");
    }
}
