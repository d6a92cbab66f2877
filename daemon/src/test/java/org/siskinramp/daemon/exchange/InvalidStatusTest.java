package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/** A server in trouble answers with a status line that has no valid status. */
class InvalidStatusTest {

    private final Clock clock = new SystemClock();
    private final HttpExchanger exchanger = TestExchanger.start(clock);
    private ScriptedServer server;

    @AfterEach
    void stop() throws IOException {
        exchanger.stop();
        server.close();
    }

    /** An answer of such a status was passed on to the caller. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "0", "00", "20", "99", "099", "0200", "600", "999", "1000", "2000", "+200",
                "-200", "2e2", "20x", "200.0", ""
            })
    void anAnswerWithoutAValidStatusIsNoAnswer(String status) throws Exception {
        server =
                new ScriptedServer(
                        request -> ScriptedServer.reply(status + " OK", "body", "Not-Run: 1"));
        AttemptException failure =
                assertThrows(AttemptException.class, this::send, "status " + status);
        assertFalse(failure.failure().isNotRun(), "the request may have run");
        awaitClosedConnection();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 304, 404, 500, 599})
    void anAnswerWithAValidStatusIsPassedOn(int status) throws Exception {
        server = new ScriptedServer(request -> ScriptedServer.reply(status + " Any", ""));
        assertEquals(status, send().status());
    }

    private void awaitClosedConnection() throws InterruptedException {
        long end = clock.monotonicMilliseconds() + 3_000;
        while (server.closedByPeer() == 0 && clock.monotonicMilliseconds() < end) {
            Thread.sleep(5);
        }
        assertEquals(1, server.closedByPeer());
    }

    private ExchangeAnswer send() throws AttemptException {
        try {
            return exchanger
                    .send(
                            ExchangeRequest.to(server.address())
                                    .deadlineMilliseconds(clock.monotonicMilliseconds() + 1_000)
                                    .idleLimitMilliseconds(-1)
                                    .closeDelimitedAllowed(true)
                                    .build())
                    .answer()
                    .orTimeout(3, TimeUnit.SECONDS)
                    .join();
        } catch (CompletionException failure) {
            throw (AttemptException) failure.getCause();
        }
    }
}
