package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against answers that a gateway cuts when it shuts down, while callers send ahead. */
class AnswersAtShutdownProcessTest {

    private static final int SERVERS = 8;
    private static final int CALLERS = 12;
    private static final long SERVICE_TIME_MILLISECONDS = 76;
    private static final long REQUEST_INTERVAL_MILLISECONDS = 10;
    private static final int REQUESTS_AHEAD = 3;
    private static final int ANSWER_BYTES = 30_000;
    private static final int BYTES_PER_MILLISECOND = 875;
    private static final int LARGE_ANSWER_BYTES = 400_000;
    private static final int SLOW_BYTES_PER_MILLISECOND = 100;
    private static final int SLOW_REQUESTS_AHEAD = 12;
    private static final long SLOW_INTERVAL_MILLISECONDS = 350;
    private static final long CALM_MILLISECONDS = 1_000;
    private static final long SIGNAL_INTERVAL_MILLISECONDS = 40;

    @TempDir private Path directory;

    private final List<SlowCaller> callers = new ArrayList<>();
    private GatewayDeployment deployment;
    private ProgramProcess gateway;

    @BeforeEach
    void start() throws Exception {
        deployment =
                new GatewayDeployment(
                        directory,
                        SERVERS,
                        SERVICE_TIME_MILLISECONDS,
                        REQUEST_INTERVAL_MILLISECONDS);
        deployment.configure("\"timeout_ms\":1200", "\"timeout_ms\":4000");
        deployment.startGateways(1);
        gateway = deployment.gateways().get(0);
    }

    @AfterEach
    void stop() throws IOException {
        for (SlowCaller caller : callers) {
            caller.close();
        }
        deployment.close();
    }

    private void connect(int requestsAhead, long sendIntervalMilliseconds, int bytesPerMillisecond)
            throws IOException {
        callers.add(
                new SlowCaller(
                        Integer.parseInt(gateway.await("started", "caller_port")),
                        "caller-" + callers.size(),
                        requestsAhead,
                        sendIntervalMilliseconds,
                        bytesPerMillisecond));
    }

    private void setAnswerBytes(int bytes) {
        deployment.servers().forEach(server -> server.setMinimumAnswerBytes(bytes));
    }

    /** Waits for all callers; returns the requests that ran without a whole answer. */
    private List<String> awaitCutAnswers() throws InterruptedException {
        List<String> cut = new ArrayList<>();
        for (SlowCaller caller : callers) {
            caller.awaitEnd();
            caller.unanswered().stream()
                    .filter(requestId -> deployment.runs(requestId) > 0)
                    .forEach(cut::add);
        }
        return cut;
    }

    @Test
    void lastAnswersAreWholeOnConnectionsWithRequestsSentAhead() throws Exception {
        setAnswerBytes(ANSWER_BYTES);
        for (int number = 0; number < CALLERS; number++) {
            connect(REQUESTS_AHEAD, REQUEST_INTERVAL_MILLISECONDS, BYTES_PER_MILLISECOND);
        }
        Thread.sleep(CALM_MILLISECONDS);
        gateway.hangUp();
        CompletableFuture<Integer> exit = CompletableFuture.supplyAsync(gateway::terminate);
        Thread.sleep(SIGNAL_INTERVAL_MILLISECONDS);
        gateway.hangUp();

        assertEquals(List.of(), awaitCutAnswers());
        assertEquals(0, exit.join());
        assertTrue(callers.stream().allMatch(caller -> caller.answerCount() >= 3));
    }

    /** The first answer is delivered long after the time in which a gateway without load ends. */
    @Test
    void theProcessDoesNotEndWhileAnswersAreDelivered() throws Exception {
        setAnswerBytes(LARGE_ANSWER_BYTES);
        connect(SLOW_REQUESTS_AHEAD, SLOW_INTERVAL_MILLISECONDS, SLOW_BYTES_PER_MILLISECOND);
        Thread.sleep(SLOW_INTERVAL_MILLISECONDS / 2);
        setAnswerBytes(ANSWER_BYTES);
        CompletableFuture<Integer> exit = CompletableFuture.supplyAsync(gateway::terminate);

        assertEquals(List.of(), awaitCutAnswers());
        assertEquals(0, exit.join());
        assertEquals(2, callers.get(0).answerCount());
        assertEquals("0", gateway.await("stopped", "connections_cut"));
    }
}
