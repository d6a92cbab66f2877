package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/**
 * An exchange ends before its answer. Bytes of the request that the network still holds must not
 * reach the server afterwards, which only a reset of the connection ensures.
 */
class CancelledExchangeTest {

    private static final long TIMEOUT_MILLISECONDS = 5_000;
    private static final long SHORT_TIMEOUT_MILLISECONDS = 200;

    private final Clock clock = new SystemClock();
    private final HttpExchanger exchanger = TestExchanger.start(clock);
    private ScriptedServer server;

    @BeforeEach
    void start() throws IOException {
        server =
                new ScriptedServer(
                        request ->
                                request.startsWith("GET /silent ")
                                        ? ScriptedServer.SILENCE
                                        : ScriptedServer.reply("200 OK", "body"));
    }

    @AfterEach
    void stop() throws IOException {
        exchanger.stop();
        server.close();
    }

    private ExchangeCall send(String target, long timeoutMilliseconds) {
        return exchanger.send(
                ExchangeRequest.to(server.address())
                        .target(target)
                        .deadlineMilliseconds(clock.monotonicMilliseconds() + timeoutMilliseconds)
                        .build());
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
        long end = clock.monotonicMilliseconds() + TIMEOUT_MILLISECONDS;
        while (!condition.getAsBoolean() && clock.monotonicMilliseconds() < end) {
            Thread.sleep(2);
        }
    }

    @Test
    void aCancelledExchangeResetsItsConnection() throws Exception {
        ExchangeCall call = send("/silent", TIMEOUT_MILLISECONDS);
        await(() -> server.requests().size() == 1);
        call.cancel();
        assertThrows(CompletionException.class, call.answer()::join);
        await(() -> server.closedByPeer() == 1);
        assertEquals(1, server.resetByPeer());
    }

    @Test
    void anExchangePastItsDeadlineResetsItsConnection() throws Exception {
        ExchangeCall call = send("/silent", SHORT_TIMEOUT_MILLISECONDS);
        assertThrows(CompletionException.class, call.answer()::join);
        await(() -> server.closedByPeer() == 1);
        assertEquals(1, server.resetByPeer());
    }

    @Test
    void anAnsweredExchangeKeepsItsConnection() {
        assertEquals(200, send("/first", TIMEOUT_MILLISECONDS).answer().join().status());
        assertEquals(200, send("/second", TIMEOUT_MILLISECONDS).answer().join().status());
        assertEquals(1, server.connections());
        assertEquals(0, server.closedByPeer());
    }
}
