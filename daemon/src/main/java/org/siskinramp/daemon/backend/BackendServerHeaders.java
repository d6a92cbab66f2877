package org.siskinramp.daemon.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.daemon.exchange.ConnectionHeaders;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.request.Header;
import org.siskinramp.request.RequestKey;

/** Writes and reads the headers of the standard protocol of backend servers. */
final class BackendServerHeaders {

    static final String REQUEST_ID = "Request-Id";

    private static final String CALLER = "Caller";
    static final String ATTEMPT = "Attempt";
    private static final String REQUEST_DEADLINE = "Request-Deadline";
    static final String BOOT_IDENTITY = "Boot-Identity";
    private static final String LOAD = "Load";
    private static final String LEAVING = "Leaving";
    private static final String NOT_RUN = "Not-Run";
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int LOAD_UNKNOWN = -1;

    private static final Set<String> PROTOCOL_REQUEST_HEADERS =
            Set.of("request-id", "caller", "attempt", "request-deadline");
    private static final Set<String> PROTOCOL_ANSWER_HEADERS =
            Set.of(
                    "request-id",
                    "attempt",
                    "boot-identity",
                    "load",
                    "leaving",
                    "not-run",
                    "result-code",
                    "retry-after-milliseconds");

    private BackendServerHeaders() {}

    static List<Header> attemptHeaders(
            Attempt attempt, String attemptName, long remainingMilliseconds) {
        RequestKey key = attempt.request().key();
        List<Header> headers =
                new ArrayList<>(
                        ConnectionHeaders.without(
                                attempt.request().headers(), PROTOCOL_REQUEST_HEADERS));
        headers.add(new Header(REQUEST_ID, key.requestId()));
        headers.add(new Header(CALLER, key.caller()));
        headers.add(new Header(ATTEMPT, attemptName));
        headers.add(new Header(REQUEST_DEADLINE, Long.toString(remainingMilliseconds)));
        return headers;
    }

    /** Returns the headers to forward to the caller; an answer to HEAD keeps its Content-Length. */
    static List<Header> forwardedAnswerHeaders(ExchangeAnswer answer, String method) {
        List<Header> headers =
                new ArrayList<>(
                        ConnectionHeaders.without(answer.headers(), PROTOCOL_ANSWER_HEADERS));
        if (method.equals("HEAD")) {
            answer.header("Content-Length")
                    .ifPresent(length -> headers.add(new Header("Content-Length", length)));
        }
        return headers;
    }

    static LoadReport loadReport(ExchangeAnswer answer) {
        return new LoadReport(
                answer.header(BOOT_IDENTITY).orElse(""),
                answer.header(LOAD).map(BackendServerHeaders::parseLoad).orElse(LOAD_UNKNOWN),
                answer.header(LEAVING).filter("true"::equalsIgnoreCase).isPresent());
    }

    private static int parseLoad(String text) {
        try {
            return Math.max(LOAD_UNKNOWN, Integer.parseInt(text.strip()));
        } catch (NumberFormatException malformed) {
            return LOAD_UNKNOWN;
        }
    }

    /** Returns why the server did not run the request, or empty if it does not say so. */
    static Optional<AttemptFailure> notRunReason(ExchangeAnswer answer) {
        if (answer.status() != SERVICE_UNAVAILABLE) {
            return Optional.empty();
        }
        return answer.header(NOT_RUN)
                .flatMap(
                        reason ->
                                switch (reason.strip()) {
                                    case "shed" -> Optional.of(AttemptFailure.SHED);
                                    case "leaving" -> Optional.of(AttemptFailure.LEAVING);
                                    default -> Optional.empty();
                                });
    }
}
