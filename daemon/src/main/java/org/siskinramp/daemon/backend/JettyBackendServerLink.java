package org.siskinramp.daemon.backend;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.daemon.exchange.ExchangeCall;
import org.siskinramp.daemon.exchange.ExchangeRequest;
import org.siskinramp.daemon.exchange.HttpExchanger;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.request.Request;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Reaches backend servers over HTTP/1.1, one request on a connection at a time. */
public final class JettyBackendServerLink implements BackendServerLink {

    private static final long NO_IDLE_TIME = -1;

    /** Answers to probes carry their figures in headers. */
    private static final int PROBE_ANSWER_LIMIT_BYTES = 64 * 1024;

    private final BackendServerLinkOptions options;
    private final ServerProtocol protocol;
    private final Clock clock;
    private final HttpExchanger exchanger;
    private final Map<Long, ExchangeCall> calls = new ConcurrentHashMap<>();

    /**
     * Creates the link for the project's own protocol, which must be started before use.
     *
     * @param options the limits
     * @param clock tells the time
     * @param scheduler ends the wait for a connection
     * @param eventLog is told of connections that went silent
     * @param counters counts connections that went silent
     */
    public JettyBackendServerLink(
            BackendServerLinkOptions options,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog,
            Counters counters) {
        this(
                options,
                new StandardServerProtocol(options::attemptName),
                clock,
                scheduler,
                eventLog,
                counters);
    }

    /**
     * Creates the link for any protocol, which must be started before use.
     *
     * @param options the limits
     * @param protocol what the backend servers speak
     * @param clock tells the time
     * @param scheduler ends the wait for a connection
     * @param eventLog is told of connections that went silent
     * @param counters counts connections that went silent
     */
    public JettyBackendServerLink(
            BackendServerLinkOptions options,
            ServerProtocol protocol,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog,
            Counters counters) {
        this.options = options;
        this.protocol = protocol;
        this.clock = clock;
        this.exchanger =
                new HttpExchanger(
                        "backend", options.exchange(), clock, scheduler, eventLog, counters);
    }

    /** Starts the threads. */
    public void start() {
        exchanger.start();
    }

    /** Closes all connections and stops the threads. */
    public void stop() {
        exchanger.stop();
    }

    @Override
    public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
        ExchangeCall call;
        try {
            call = exchanger.send(toExchange(attempt));
        } catch (ResultException malformedAddress) {
            return CompletableFuture.failedFuture(unreachable(malformedAddress));
        }
        calls.put(attempt.number(), call);
        return call.answer()
                .whenComplete((answer, failure) -> calls.remove(attempt.number(), call))
                .thenApply(answer -> protocol.read(attempt, answer));
    }

    private static AttemptException unreachable(ResultException malformedAddress) {
        return new AttemptException(
                AttemptFailure.CONNECTION_TIMED_OUT,
                LoadReport.NONE,
                malformedAddress.getMessage());
    }

    private ExchangeRequest toExchange(Attempt attempt) {
        Request request = attempt.request();
        return ExchangeRequest.to(attempt.backendServer().address())
                .method(request.method())
                .target(request.target())
                .headers(left -> protocol.requestHeaders(attempt, left))
                .body(request.body())
                .deadlineMilliseconds(attempt.deadlineMilliseconds())
                .idleLimitMilliseconds(
                        attempt.isNewConnectionNeeded()
                                ? NO_IDLE_TIME
                                : options.idleLimitMilliseconds(request.kind().idempotent()))
                .permission(attempt::isPermitted)
                .answerCheck(answer -> protocol.isAnswerTo(attempt, answer))
                .identityCheck(protocol.identityCheck(attempt.expectedBootIdentity()))
                .endByCloseAllowed(protocol.isEndByCloseAllowed())
                .build();
    }

    @Override
    public void cancel(long attemptNumber) {
        ExchangeCall call = calls.remove(attemptNumber);
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public CompletableFuture<LoadReport> probe(BackendServer server) {
        return ask(server, options.idleLimitMilliseconds(true))
                .exceptionallyCompose(failure -> askAnew(server, failure))
                .thenApply(answer -> protocol.readProbe(server, answer));
    }

    /** A pooled connection may have been closed by the server, so a new one is tried once. */
    private CompletableFuture<ExchangeAnswer> askAnew(BackendServer server, Throwable failure) {
        AttemptException cause = AttemptException.from(failure);
        return cause.failure() == AttemptFailure.CONNECTION_BROKEN
                ? ask(server, NO_IDLE_TIME)
                : CompletableFuture.failedFuture(cause);
    }

    private CompletableFuture<ExchangeAnswer> ask(
            BackendServer server, long idleLimitMilliseconds) {
        long deadline = clock.monotonicMilliseconds() + options.probeTimeoutMilliseconds();
        ExchangeRequest request;
        try {
            request =
                    ExchangeRequest.to(server.address())
                            .target(protocol.probeTarget(server))
                            .deadlineMilliseconds(deadline)
                            .answerLimitBytes(PROBE_ANSWER_LIMIT_BYTES)
                            .idleLimitMilliseconds(idleLimitMilliseconds)
                            .identityCheck(protocol.identityCheck(""))
                            .endByCloseAllowed(protocol.isEndByCloseAllowed())
                            .build();
        } catch (ResultException malformedAddress) {
            return CompletableFuture.failedFuture(unreachable(malformedAddress));
        }
        return exchanger.send(request).answer();
    }
}
