package org.siskinramp.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskinramp.log.RequestMetricsRecorder;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.VirtualTime;
import org.siskinramp.workspace.Workspace;
import org.siskinramp.workspace.WorkspaceTable;

class LimitedGatewayTest {

    private static final Workspace LIMITED =
            new Workspace("crew", Workspace.NO_RANK, 10, 0, List.of());
    private static final Workspace UNLIMITED =
            new Workspace("staff", Workspace.NO_RANK, 0, 0, List.of());

    private final VirtualTime time = new VirtualTime();
    private final QuotaLimiter limiter =
            new QuotaLimiter(
                    new QuotaTable(
                            () -> Optional.of(new WorkspaceTable(List.of(LIMITED, UNLIMITED))),
                            new QuotaOptions(5_000, 0.1, 20)),
                    new TokenClock(time),
                    time,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    private final List<CallerConnection> connections = new ArrayList<>();
    private final List<CompletableFuture<Answer>> handled = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final LimitedGateway gateway =
            new LimitedGateway(
                    limiter,
                    (request, route, connection) -> {
                        connections.add(connection);
                        handled.add(new CompletableFuture<>());
                        return handled.get(handled.size() - 1);
                    },
                    event -> events.add(event.toLine()),
                    RequestMetricsRecorder.NONE);

    @BeforeEach
    void mintOneToken() {
        limiter.connect(() -> new HostCount(1, 0, true, 0), () -> {});
        limiter.tick();
        time.advance(150);
    }

    private CompletableFuture<Answer> send(Workspace workspace) {
        Request request =
                Request.builder()
                        .key(new RequestKey("", "r-7"))
                        .service("desk")
                        .kind(new RequestKind("read", "*", "/", true, 1))
                        .workspace(Optional.of(workspace))
                        .method("GET")
                        .target("/")
                        .headers(List.of())
                        .body(new byte[0])
                        .contentHash("c")
                        .arrivedMilliseconds(0)
                        .deadlineMilliseconds(1_000)
                        .build();
        return gateway.handle(request, null, CallerConnection.ALWAYS_OPEN);
    }

    /** Guards against requests beyond the quota, and against limits that nobody configured. */
    @Test
    void refusesBeyondTheQuotaWithADelay() {
        assertFalse(send(LIMITED).isDone());
        CompletableFuture<Answer> second = send(LIMITED);
        ResultException refusal =
                ResultException.from(assertThrows(CompletionException.class, second::join));
        assertEquals(ResultCode.QUOTA_EXCEEDED, refusal.code());
        assertTrue(refusal.retryAfterMilliseconds().getAsLong() >= 50);
        assertTrue(events.get(0).contains("quota_refused"), events.toString());
        assertTrue(events.get(0).contains("r-7"), events.toString());
        assertFalse(send(UNLIMITED).isDone());
        assertEquals(2, handled.size());
    }

    /**
     * Guards against lost value: a token comes back if its request certainly did not run. Guards
     * against an overshoot: it does not if the request may have run.
     */
    @ParameterizedTest
    @CsvSource({
        "SHED, true, true",
        "QUEUE_FULL, false, true",
        "OUTCOME_UNKNOWN, true, false",
        "TIMED_OUT, true, false"
    })
    void returnsTheTokenOfARequestThatDidNotRun(
            ResultCode code, boolean isSent, boolean isReturned) {
        CompletableFuture<Answer> answer = send(LIMITED);
        if (isSent) {
            assertTrue(connections.get(0).isOpen());
        }
        handled.get(0).completeExceptionally(new ResultException(code, "x"));
        assertTrue(answer.isCompletedExceptionally());
        assertEquals(isReturned, !send(LIMITED).isDone());
    }

    /** A request of a caller that left may have run only if it was sent. */
    @ParameterizedTest
    @CsvSource({"true, false", "false, true"})
    void returnsTheTokenOfACancelledRequestUnlessItWasSent(boolean isSent, boolean isReturned) {
        CompletableFuture<Answer> answer = send(LIMITED);
        if (isSent) {
            assertTrue(connections.get(0).isOpen());
        }
        answer.cancel(false);
        assertTrue(handled.get(0).isCancelled());
        assertEquals(isReturned, !send(LIMITED).isDone());
    }

    /** Guards against a token for a caller that left while its request waited for tokens. */
    @Test
    void takesNoTokenForACallerThatLeft() {
        limiter.setReaderPresent(true);
        assertFalse(send(LIMITED).isDone());
        CompletableFuture<Answer> waiting = send(LIMITED);
        assertFalse(waiting.isDone());
        waiting.cancel(false);
        time.advance(40);
        limiter.tick();
        assertEquals(1, handled.size());
    }
}
