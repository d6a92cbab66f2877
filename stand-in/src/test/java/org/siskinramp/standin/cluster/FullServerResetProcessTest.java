package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.standin.upstream.UpstreamFault;

/**
 * Gateways share backend servers that start requests beyond their capacity and close their
 * connections. No unsafe request may run twice, and reads must be served although the servers
 * publish more slots than they have.
 */
class FullServerResetProcessTest {

    private static final int HOSTS = 3;
    private static final int SERVERS = 6;
    private static final long SERVICE_TIME_MILLISECONDS = 80;
    private static final long REQUEST_INTERVAL_MILLISECONDS = 20;
    private static final long FAULT_MILLISECONDS = 8_000;
    private static final int REFUSED = 503;

    private final Map<String, CompletableFuture<Integer>> writes = new HashMap<>();

    @TempDir private Path directory;

    private void sendWrite(GatewayDeployment deployment) {
        String requestId = "write-" + writes.size();
        writes.put(
                requestId,
                deployment.write(requestId, "body").thenApply(answer -> answer.statusCode()));
    }

    private List<String> violations(GatewayDeployment deployment) {
        return writes.entrySet().stream()
                .filter(
                        write -> {
                            int runs = deployment.runs(write.getKey());
                            int status = write.getValue().join();
                            return runs > 1 || (runs > 0 && status == REFUSED);
                        })
                .map(Map.Entry::getKey)
                .toList();
    }

    @Test
    void unsafeRequestsRunOnceAndReadsAreServed() throws Exception {
        try (GatewayDeployment deployment =
                new GatewayDeployment(
                        directory,
                        SERVERS,
                        SERVICE_TIME_MILLISECONDS,
                        REQUEST_INTERVAL_MILLISECONDS)) {
            deployment.startGateways(HOSTS);
            deployment.awaitHostsCounted();
            deployment.sendFor(1_000);
            deployment.servers().forEach(server -> server.setFault(UpstreamFault.RESET_WHEN_FULL));
            deployment.sendFor(FAULT_MILLISECONDS, () -> sendWrite(deployment));
            assertEquals(List.of(), violations(deployment));
            assertTrue(deployment.allLogged("event=server_full "), "the fault occurred");
            assertFalse(deployment.gateways().get(0).output().contains("event=quarantined "));
            // 0.86 were served when the limit left room for requests of other hosts on each server.
            deployment.assertServed(0.9);
        }
    }
}
