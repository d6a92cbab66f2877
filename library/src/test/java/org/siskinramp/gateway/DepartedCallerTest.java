package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.request.Answer;

/** A caller has closed its connection, but no event has reported that yet. */
class DepartedCallerTest {

    /** After this time a started host may retry. */
    private static final long RETRY_WINDOW_MILLISECONDS = 10_000;

    private final GatewaySimulation simulation = new GatewaySimulation();
    private final SimulatedServers servers = simulation.servers();

    @BeforeEach
    void addServers() {
        simulation.addServer("a").withBehaviour(SimulatedServers.Behaviour.LOSE_ANSWERS);
        simulation.addServer("b").withBehaviour(SimulatedServers.Behaviour.LOSE_ANSWERS);
        simulation.time().advance(RETRY_WINDOW_MILLISECONDS);
    }

    /** Neither a first attempt nor a retry is sent. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void noAttemptIsSentOnceTheConnectionIsFoundClosed(int attemptsBefore) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        AtomicInteger looks = new AtomicInteger();
        answers.add(
                simulation.send(
                        simulation.gateway(),
                        "content",
                        () ->
                                looks.incrementAndGet() <= attemptsBefore
                                        || !answers.get(0).cancel(false)));
        simulation.time().advance(900);
        assertEquals(attemptsBefore, servers.server("a").runs() + servers.server("b").runs());
        assertEquals(attemptsBefore + 1, looks.get());
        assertEquals(0, simulation.gateway().requestsInProgress());
    }
}
