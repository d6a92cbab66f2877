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
import org.siskinramp.daemon.exchange.AnswerAttribution;
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

/** Sends attempts and probes to backend servers over HTTP/1.1, without pipelining. */
public final class JettyBackendServerLink implements BackendServerLink {

    /** Negative, so that no pooled connection is reused. */
    private static final long NEW_CONNECTION_IDLE_LIMIT_MILLISECONDS = -1;

    /** Probe answers report the load in headers, so a small body limit suffices. */
    private static final int PROBE_ANSWER_LIMIT_BYTES = 64 * 1024;

    private final BackendServerLinkOptions options;
    private final ServerProtocol protocol;
    private final Clock clock;
    private final HttpExchanger exchanger;
    private final Map<Long, ExchangeCall> callsByAttemptNumber = new ConcurrentHashMap<>();

    /**
     * Creates a link for the standard server protocol; it must be started before use.
     *
     * @param options the limits
     * @param clock the source of time
     * @param scheduler schedules the timeout of the wait for a connection
     * @param eventLog logs connections that stopped responding
     * @param counters counts connections that stopped responding
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
     * Creates a link for a given protocol; it must be started before use.
     *
     * @param options the limits
     * @param protocol the protocol of the backend servers
     * @param clock the source of time
     * @param scheduler schedules the timeout of the wait for a connection
     * @param eventLog logs connections that stopped responding
     * @param counters counts connections that stopped responding
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
            call = exchanger.prepare(toExchangeRequest(attempt));
        } catch (ResultException malformedAddress) {
            return CompletableFuture.failedFuture(invalidAddress(malformedAddress));
        }
        callsByAttemptNumber.put(attempt.number(), call);
        CompletableFuture<AttemptAnswer> answered =
                call.answer()
                        .whenComplete(
                                (answer, failure) ->
                                        callsByAttemptNumber.remove(attempt.number(), call))
                        .thenApply(answer -> protocol.read(attempt, answer));
        call.start();
        return answered;
    }

    private static AttemptException invalidAddress(ResultException malformedAddress) {
        return new AttemptException(
                AttemptFailure.CONNECTION_TIMED_OUT,
                LoadReport.NONE,
                malformedAddress.getMessage());
    }

    private ExchangeRequest toExchangeRequest(Attempt attempt) {
        Request request = attempt.request();
        return ExchangeRequest.to(attempt.backendServer().address())
                .method(request.method())
                .target(request.target())
                .headers(remaining -> protocol.requestHeaders(attempt, remaining))
                .body(request.body())
                .deadlineMilliseconds(attempt.deadlineMilliseconds())
                .idleLimitMilliseconds(
                        attempt.isNewConnectionNeeded()
                                ? NEW_CONNECTION_IDLE_LIMIT_MILLISECONDS
                                : options.idleLimitMilliseconds(request.kind().idempotent()))
                .permission(attempt::isPermitted)
                .attribution(answer -> protocol.attribute(attempt, answer))
                .reuseCheck(protocol::isConnectionReusableAfter)
                .identityCheck(protocol.identityCheck(attempt.expectedBootIdentity()))
                .closeDelimitedAllowed(protocol.isCloseDelimitedAllowed())
                .build();
    }

    @Override
    public void cancel(long attemptNumber) {
        ExchangeCall call = callsByAttemptNumber.remove(attemptNumber);
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public CompletableFuture<LoadReport> probe(BackendServer server) {
        return sendProbe(server, options.idleLimitMilliseconds(true))
                .exceptionallyCompose(failure -> probeOnNewConnection(server, failure))
                .thenApply(answer -> protocol.readProbe(server, answer));
    }

    /** Retries once on a new connection, since the server may have closed a pooled connection. */
    private CompletableFuture<ExchangeAnswer> probeOnNewConnection(
            BackendServer server, Throwable failure) {
        AttemptException cause = AttemptException.from(failure);
        return cause.failure() == AttemptFailure.CONNECTION_BROKEN
                ? sendProbe(server, NEW_CONNECTION_IDLE_LIMIT_MILLISECONDS)
                : CompletableFuture.failedFuture(cause);
    }

    private CompletableFuture<ExchangeAnswer> sendProbe(
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
                            .attribution(this::attributeProbeAnswer)
                            .reuseCheck(protocol::isProbeAnswer)
                            .identityCheck(protocol.identityCheck(""))
                            .closeDelimitedAllowed(protocol.isCloseDelimitedAllowed())
                            .build();
        } catch (ResultException malformedAddress) {
            return CompletableFuture.failedFuture(invalidAddress(malformedAddress));
        }
        return exchanger.send(request).answer();
    }

    private AnswerAttribution attributeProbeAnswer(ExchangeAnswer answer) {
        return protocol.isProbeAnswer(answer)
                ? AnswerAttribution.PROVEN
                : AnswerAttribution.UNPROVEN;
    }
}
