package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.log.RequestMetricsRecorder;
import org.siskinramp.request.Answer;
import org.siskinramp.time.VirtualTime;

/**
 * What the gateway calls throws an exception. Whichever call that is, all requests end, and nothing
 * stays reserved: later requests are served as before.
 */
class FailingEnvironmentTest {

    private static final int REQUESTS = 24;
    private static final int CONSECUTIVE_FAILURES = 3;

    /** More calls than the requests of a test make. */
    private static final int STEPS = 150;

    private final VirtualTime time = new VirtualTime();

    /** The calls that throw. */
    enum FailingPart {
        PROBE,
        DISPATCH,
        CANCEL,
        SCHEDULE
    }

    /** Throws at some consecutive calls of one part. */
    private static final class Failures {

        private final FailingPart part;
        private final int first;
        private int calls;

        private Failures(FailingPart part, int first) {
            this.part = part;
            this.first = first;
        }

        private void call(FailingPart called) {
            if (called == part) {
                calls++;
                if (calls > first && calls <= first + CONSECUTIVE_FAILURES) {
                    throw new IllegalArgumentException("call " + calls + " of " + part);
                }
            }
        }

        private boolean haveOccurred() {
            return calls >= first + CONSECUTIVE_FAILURES;
        }
    }

    private record FailingLink(SimulatedServers servers, Failures failures)
            implements BackendServerLink {

        @Override
        public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
            failures.call(FailingPart.DISPATCH);
            return servers.dispatch(attempt);
        }

        @Override
        public void cancel(long attemptNumber) {
            failures.call(FailingPart.CANCEL);
            servers.cancel(attemptNumber);
        }

        @Override
        public CompletableFuture<LoadReport> probe(BackendServer server) {
            failures.call(FailingPart.PROBE);
            return servers.probe(server);
        }
    }

    private Gateway newGateway(SimulatedServers servers, Failures failures) {
        return new Gateway(
                new GatewayEnvironment(
                        "zone-1",
                        time,
                        (delay, task) -> {
                            failures.call(FailingPart.SCHEDULE);
                            time.schedule(delay, task);
                        },
                        new FailingLink(servers, failures),
                        event -> {},
                        (counter, amount) -> {},
                        RequestMetricsRecorder.NONE,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(7)),
                GatewayOptions.builder().build(),
                1);
    }

    @ParameterizedTest
    @EnumSource(FailingPart.class)
    void allRequestsEndAndLaterOnesAreServedWhicheverCallThrows(FailingPart part) {
        int occurred = 0;
        for (int step = 0; step < STEPS; step++) {
            Failures failures = new Failures(part, step);
            SimulatedServers servers = new SimulatedServers(time, step);
            GatewaySimulation simulation =
                    new GatewaySimulation(time, servers, newGateway(servers, failures));
            simulation.addServer("a", 4, 40);
            simulation.addServer("b", 4, 40);
            send(simulation, true);
            time.advance(3_000);
            assertEquals(0, simulation.gateway().requestsInProgress(), part + " " + step);
            assertEquals(0, simulation.gateway().requestsWaiting(), part + " " + step);
            if (failures.haveOccurred()) {
                occurred++;
                long answered = send(simulation, false).stream().filter(this::isServed).count();
                assertEquals(REQUESTS, answered, part + " " + step);
            }
        }
        assertTrue(occurred > 0, "the calls of " + part + " were reached");
    }

    /** Sends requests; some callers leave, so that attempts are cancelled. */
    private List<CompletableFuture<Answer>> send(GatewaySimulation simulation, boolean leaving) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            answers.add(simulation.send("content-" + request));
            time.advance(12);
            if (leaving && request % 4 == 0) {
                answers.get(request).cancel(false);
            }
        }
        time.advance(600);
        simulation.gateway().tick();
        answers.forEach(answer -> assertTrue(leaving || answer.isDone()));
        return answers;
    }

    private boolean isServed(CompletableFuture<Answer> answer) {
        return answer.isDone()
                && !answer.isCompletedExceptionally()
                && answer.join().status() == 200;
    }
}
