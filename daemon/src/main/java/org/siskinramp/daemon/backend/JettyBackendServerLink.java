package org.siskinramp.daemon.backend;

import java.util.Map;
import java.util.Optional;
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
import org.siskinramp.daemon.exchange.IdentityCheck;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Reaches backend servers over HTTP/1.1, one request on a connection at a time. */
public final class JettyBackendServerLink implements BackendServerLink {

    private static final int OK = 200;
    private static final String PROBE_TARGET = "/-/load";

    private final BackendServerLinkOptions options;
    private final Clock clock;
    private final HttpExchanger exchanger;
    private final Map<Long, ExchangeCall> calls = new ConcurrentHashMap<>();

    /**
     * Creates the link, which must be started before use.
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
        this.options = options;
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
                .thenApply(answer -> toAttemptAnswer(attempt, answer));
    }

    private static AttemptException unreachable(ResultException malformedAddress) {
        return new AttemptException(
                AttemptFailure.CONNECTION_TIMED_OUT,
                LoadReport.NONE,
                malformedAddress.getMessage());
    }

    private ExchangeRequest toExchange(Attempt attempt) {
        Request request = attempt.request();
        String attemptName = options.attemptName(attempt.number());
        return ExchangeRequest.to(attempt.backendServer().address())
                .method(request.method())
                .target(request.target())
                .headers(left -> BackendServerHeaders.of(attempt, attemptName, left))
                .body(request.body())
                .deadlineMilliseconds(attempt.deadlineMilliseconds())
                .idleLimitMilliseconds(options.idleLimitMilliseconds(request.kind().idempotent()))
                .permission(attempt::isPermitted)
                .answerCheck(answer -> names(answer, request.key().requestId(), attemptName))
                .identityCheck(identityCheck(attempt.expectedBootIdentity()))
                .build();
    }

    private static IdentityCheck identityCheck(String expected) {
        return new IdentityCheck(BackendServerHeaders.BOOT_IDENTITY, expected, PROBE_TARGET);
    }

    /** Tells whether an answer names the request and, if it names an attempt, this one. */
    private static boolean names(ExchangeAnswer answer, String requestId, String attemptName) {
        return answer.header(BackendServerHeaders.REQUEST_ID).filter(requestId::equals).isPresent()
                && answer.header(BackendServerHeaders.ATTEMPT)
                        .map(attemptName::equals)
                        .orElse(true);
    }

    private static AttemptAnswer toAttemptAnswer(Attempt attempt, ExchangeAnswer answer) {
        LoadReport loadReport = BackendServerHeaders.loadReport(answer);
        Optional<AttemptFailure> notRun = BackendServerHeaders.notRun(answer);
        if (notRun.isPresent()) {
            throw new AttemptException(
                    notRun.get(), loadReport, "server=" + attempt.backendServer().name());
        }
        Answer relayed =
                new Answer(
                        ResultCode.ANSWERED,
                        answer.status(),
                        BackendServerHeaders.toPassOn(answer, attempt.request().method()),
                        answer.body());
        return new AttemptAnswer(relayed, loadReport);
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
        long deadline = clock.monotonicMilliseconds() + options.probeTimeoutMilliseconds();
        ExchangeRequest request;
        try {
            request =
                    ExchangeRequest.to(server.address())
                            .target(PROBE_TARGET)
                            .deadlineMilliseconds(deadline)
                            .idleLimitMilliseconds(options.idleLimitMilliseconds(true))
                            .identityCheck(identityCheck(""))
                            .build();
        } catch (ResultException malformedAddress) {
            return CompletableFuture.failedFuture(unreachable(malformedAddress));
        }
        return exchanger.send(request).answer().thenApply(answer -> toLoadReport(server, answer));
    }

    private static LoadReport toLoadReport(BackendServer server, ExchangeAnswer answer) {
        LoadReport loadReport = BackendServerHeaders.loadReport(answer);
        if (answer.status() != OK) {
            throw new AttemptException(
                    AttemptFailure.CONNECTION_BROKEN,
                    loadReport,
                    "server=" + server.name() + " probe_status=" + answer.status());
        }
        return loadReport;
    }
}
