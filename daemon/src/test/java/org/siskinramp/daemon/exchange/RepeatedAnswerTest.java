package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/** A faulty server writes an earlier answer once more on a kept connection. */
class RepeatedAnswerTest {

    private static final String REFUSAL =
            ScriptedServer.reply("503 Service Unavailable", "", "Not-Run: 1");
    private static final String ANSWER = ScriptedServer.reply("200 OK", "body");

    private final Clock clock = new SystemClock();
    private final HttpExchanger exchanger = TestExchanger.start(clock);
    private final AtomicInteger requests = new AtomicInteger();
    private ScriptedServer server;

    @AfterEach
    void stop() throws IOException {
        exchanger.stop();
        server.close();
    }

    private int send() {
        return exchanger
                .send(
                        ExchangeRequest.to(server.address())
                                .deadlineMilliseconds(clock.monotonicMilliseconds() + 5_000)
                                .reuseCheck(answer -> answer.header("Not-Run").isEmpty())
                                .build())
                .answer()
                .join()
                .status();
    }

    /** Without an identifier, the repeated refusal would be taken for the answer to the request. */
    @Test
    void aRefusalRepeatedBeforeTheNextAnswerReachesNoRequest() throws Exception {
        server =
                new ScriptedServer(
                        request ->
                                switch (requests.incrementAndGet()) {
                                    case 1 -> REFUSAL;
                                    default ->
                                            server.connections() == 1 ? REFUSAL + ANSWER : ANSWER;
                                });
        assertEquals(503, send());
        assertEquals(200, send());
    }

    @Test
    void aRefusalRepeatedAtOnceReachesNoRequest() throws Exception {
        server =
                new ScriptedServer(
                        request -> requests.incrementAndGet() == 1 ? REFUSAL + REFUSAL : ANSWER);
        assertEquals(503, send());
        assertEquals(200, send());
    }

    /** On a new connection there is no earlier answer that the refusal could belong to. */
    @Test
    void aRefusalThatNamesNoRequestIsAcceptedOnANewConnectionOnly() throws Exception {
        server = new ScriptedServer(request -> requests.incrementAndGet() == 2 ? ANSWER : REFUSAL);
        assertEquals(503, sendUnattributed().answer().join().status());
        server.close();
        server = new ScriptedServer(request -> requests.incrementAndGet() == 2 ? ANSWER : REFUSAL);
        assertEquals(200, send());
        AttemptException failure =
                AttemptException.from(
                        assertThrows(CompletionException.class, sendUnattributed().answer()::join));
        assertEquals(AttemptFailure.ANSWER_CROSSED, failure.failure());
        assertEquals(1, server.connections());
    }

    private ExchangeCall sendUnattributed() {
        return exchanger.send(
                ExchangeRequest.to(server.address())
                        .deadlineMilliseconds(clock.monotonicMilliseconds() + 5_000)
                        .attribution(answer -> AnswerAttribution.UNPROVEN)
                        .build());
    }

    @Test
    void theConnectionOfAnOrdinaryAnswerIsReused() throws Exception {
        server = new ScriptedServer(request -> ANSWER);
        assertEquals(200, send());
        assertEquals(200, send());
        assertEquals(1, server.connections());
    }
}
