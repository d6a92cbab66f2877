package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Gateways keep requests from the target of an order and record the order in the store. */
class RolloutProcessTest {

    private static final int HOSTS = 4;
    private static final int SERVERS = 3;

    /** The limit within which a change by an operator is in force on all hosts. */
    private static final long APPLY_MILLISECONDS = 2_500;

    private static final int DURATION_SECONDS = 9;

    @TempDir private Path directory;

    /** All servers run the target here, so each request that is answered would be a violation. */
    @Test
    void theTargetGetsNoRequestsAndTheOrderIsRolledBackOnce() throws Exception {
        try (GatewayDeployment deployment = new GatewayDeployment(directory, SERVERS, 20, 50)) {
            deployment.startGateways(HOSTS);
            deployment.awaitHostsCounted();
            deployment
                    .store()
                    .put(
                            "op",
                            "rollout/desk",
                            "{\"service\":\"desk\",\"target\":\"v1\",\"duration_s\":"
                                    + DURATION_SECONDS
                                    + "}");
            long orderedAt = System.nanoTime();
            Thread.sleep(APPLY_MILLISECONDS);
            int runsBefore = runs(deployment);
            deployment.sendFor(1_000);
            deployment.answers().forEach(answer -> assertEquals(503, answer.join()));
            assertEquals(runsBefore, runs(deployment));
            assertEquals(
                    1,
                    count(
                            deployment,
                            "event=rollout_recorded service=desk target=v1 state=running"));
            TestClient.await(
                    () ->
                            count(
                                            deployment,
                                            "event=rollout service=desk target=v1 state=rolled_back")
                                    == HOSTS);
            long tookMilliseconds = (System.nanoTime() - orderedAt) / 1_000_000;
            assertEquals(
                    1,
                    count(
                            deployment,
                            "event=rollout_recorded service=desk target=v1 state=rolled_back"));
            assertEquals(0, tookMilliseconds / (DURATION_SECONDS * 1_000L), "late");
        }
    }

    private static int runs(GatewayDeployment deployment) {
        return deployment.servers().stream()
                .map(UpstreamStandIn::runs)
                .mapToInt(runs -> runs.values().stream().mapToInt(Integer::intValue).sum())
                .sum();
    }

    private static long count(GatewayDeployment deployment, String line) {
        return deployment.gateways().stream()
                .flatMap(gateway -> gateway.output().lines())
                .filter(logged -> logged.contains(line))
                .count();
    }
}
