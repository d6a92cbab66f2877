package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.standin.upstream.UpstreamFault;

/** Servers send a refusal that names no request before the answer to an unsafe request. */
class StrayAnswerProcessTest {

    private static final int SERVERS = 6;
    private static final long SERVICE_TIME_MILLISECONDS = 40;
    private static final long REQUEST_INTERVAL_MILLISECONDS = 10;
    private static final int REQUESTS = 150;
    private static final int REFUSED = 503;

    @TempDir private Path directory;

    @Test
    void noUnsafeRequestRunsTwiceOrIsRefusedAlthoughItRan() throws Exception {
        try (GatewayDeployment deployment =
                new GatewayDeployment(
                        directory,
                        SERVERS,
                        SERVICE_TIME_MILLISECONDS,
                        REQUEST_INTERVAL_MILLISECONDS)) {
            deployment.startGateways(1);
            deployment.sendFor(500);
            deployment.server(0).setFault(UpstreamFault.STRAY_REFUSAL);
            deployment.server(1).setFault(UpstreamFault.STRAY_REFUSAL);
            Map<String, CompletableFuture<Integer>> statuses = new HashMap<>();
            for (int number = 0; number < REQUESTS; number++) {
                String requestId = "write-" + number;
                statuses.put(
                        requestId,
                        deployment
                                .write(requestId, "body")
                                .thenApply(answer -> answer.statusCode()));
                Thread.sleep(REQUEST_INTERVAL_MILLISECONDS);
            }
            List<String> broken = new ArrayList<>();
            statuses.forEach(
                    (requestId, status) -> {
                        int runs = deployment.runs(requestId);
                        if (runs > 1 || (runs > 0 && status.join() == REFUSED)) {
                            broken.add(requestId);
                        }
                    });
            assertEquals(List.of(), broken);
            assertTrue(
                    deployment.gateways().get(0).output().contains("outcome=answer_crossed"),
                    "the fault occurred");
        }
    }
}
