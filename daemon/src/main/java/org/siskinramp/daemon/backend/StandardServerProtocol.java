package org.siskinramp.daemon.backend;

import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.daemon.exchange.AnswerAttribution;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.daemon.exchange.IdentityCheck;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Header;
import org.siskinramp.result.ResultCode;

/** The standard protocol of backend servers, see {@code docs/BACKEND-SERVERS.md}. */
final class StandardServerProtocol implements ServerProtocol {

    private static final int OK = 200;
    private static final String PROBE_TARGET = "/-/load";

    private final LongFunction<String> attemptNames;

    StandardServerProtocol(LongFunction<String> attemptNames) {
        this.attemptNames = attemptNames;
    }

    @Override
    public List<Header> requestHeaders(Attempt attempt, long remainingMilliseconds) {
        return BackendServerHeaders.attemptHeaders(
                attempt, attemptNames.apply(attempt.number()), remainingMilliseconds);
    }

    @Override
    public AnswerAttribution attribute(Attempt attempt, ExchangeAnswer answer) {
        String requestId = attempt.request().key().requestId();
        boolean named =
                answer.header(BackendServerHeaders.REQUEST_ID).filter(requestId::equals).isPresent()
                        && answer.header(BackendServerHeaders.ATTEMPT)
                                .map(attemptNames.apply(attempt.number())::equals)
                                .orElse(true);
        return named ? AnswerAttribution.PROVEN : AnswerAttribution.FOREIGN;
    }

    /** An answer that was left over would be detected by the next attempt. */
    @Override
    public boolean isProbeAnswer(ExchangeAnswer answer) {
        return true;
    }

    /** Each answer names its request, so a repeated answer is detected. */
    @Override
    public boolean isConnectionReusableAfter(ExchangeAnswer answer) {
        return true;
    }

    @Override
    public AttemptAnswer read(Attempt attempt, ExchangeAnswer answer) {
        LoadReport loadReport = BackendServerHeaders.loadReport(answer);
        Optional<AttemptFailure> notRun = BackendServerHeaders.notRunReason(answer);
        if (notRun.isPresent()) {
            throw new AttemptException(
                    notRun.get(), loadReport, "server=" + attempt.backendServer().name());
        }
        Answer relayed =
                new Answer(
                        ResultCode.ANSWERED,
                        answer.status(),
                        BackendServerHeaders.forwardedAnswerHeaders(
                                answer, attempt.request().method()),
                        answer.body());
        return new AttemptAnswer(relayed, loadReport);
    }

    @Override
    public String probeTarget(BackendServer server) {
        return PROBE_TARGET;
    }

    @Override
    public LoadReport readProbe(BackendServer server, ExchangeAnswer answer) {
        LoadReport loadReport = BackendServerHeaders.loadReport(answer);
        if (answer.status() != OK) {
            throw new AttemptException(
                    AttemptFailure.CONNECTION_BROKEN,
                    loadReport,
                    "server=" + server.name() + " probe_status=" + answer.status());
        }
        return loadReport;
    }

    @Override
    public IdentityCheck identityCheck(String expected) {
        return new IdentityCheck(BackendServerHeaders.BOOT_IDENTITY, expected, PROBE_TARGET);
    }

    @Override
    public boolean isCloseDelimitedAllowed() {
        return false;
    }
}
