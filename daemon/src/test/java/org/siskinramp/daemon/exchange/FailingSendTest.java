package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/** An exception while a request is sent or its answer is read ends the exchange. */
class FailingSendTest {

    private static final long TIMEOUT_MILLISECONDS = 5_000;
    private static final int LARGE_ANSWER_BYTES = 7_000_000;

    private final Clock clock = new SystemClock();
    private final HttpExchanger exchanger =
            TestExchanger.start(
                    clock,
                    ExchangeOptions.builder()
                            .answerLimitBytes(8 * 1024 * 1024)
                            .totalAnswerLimitBytes(12 * 1024 * 1024)
                            .build());
    private ScriptedServer server;

    @BeforeEach
    void start() throws IOException {
        server =
                new ScriptedServer(
                        request ->
                                request.startsWith("GET /large ")
                                        ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                + chunk(LARGE_ANSWER_BYTES)
                                                + "0\r\n\r\n"
                                        : ScriptedServer.reply("200 OK", "body"));
    }

    @AfterEach
    void stop() throws IOException {
        exchanger.stop();
        server.close();
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
    }

    private ExchangeRequest.Builder request() {
        return ExchangeRequest.to(server.address())
                .deadlineMilliseconds(clock.monotonicMilliseconds() + TIMEOUT_MILLISECONDS);
    }

    private static AttemptFailure failureOf(ExchangeCall call) {
        ExecutionException failure =
                assertThrows(
                        ExecutionException.class,
                        () -> call.answer().get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        return AttemptException.from(failure.getCause()).failure();
    }

    private static ExchangeAnswer answerOf(ExchangeCall call) throws Exception {
        return call.answer().get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private ExchangeCall sendWithFailingHeaders() {
        return exchanger.send(
                request()
                        .headers(
                                left -> {
                                    throw new IllegalArgumentException("header");
                                })
                        .build());
    }

    @Test
    void anExceptionOnANewAndOnAnIdleConnectionProvesThatNothingWasSent() throws Exception {
        assertEquals(AttemptFailure.CONNECTION_TIMED_OUT, failureOf(sendWithFailingHeaders()));
        assertEquals(200, answerOf(exchanger.send(request().build())).status());
        assertEquals(AttemptFailure.CONNECTION_TIMED_OUT, failureOf(sendWithFailingHeaders()));
        assertEquals(1, server.requests().size());
    }

    @Test
    void anExceptionWhileTheAnswerIsReadFailsTheExchange() {
        ExchangeCall call =
                exchanger.send(
                        request()
                                .attribution(
                                        answer -> {
                                            throw new IllegalArgumentException("answer");
                                        })
                                .build());
        assertEquals(AttemptFailure.ANSWER_INCOMPLETE, failureOf(call));
    }

    /** The limits are those of the settings: one answer may have 8 MiB, all together 12 MiB. */
    @Test
    void aLargeAnswerOfUnknownLengthIsRead() throws Exception {
        ExchangeAnswer answer = answerOf(exchanger.send(request().target("/large").build()));
        assertEquals(LARGE_ANSWER_BYTES, answer.body().length);
        assertEquals(0, exchanger.answerBufferLimiter().totalBytes());
    }
}
