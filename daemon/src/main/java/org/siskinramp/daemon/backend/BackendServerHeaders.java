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

/** Writes and reads the headers that entry hosts and backend servers share. */
final class BackendServerHeaders {

    static final String REQUEST_ID = "Request-Id";

    private static final String CALLER = "Caller";
    static final String ATTEMPT = "Attempt";
    private static final String REQUEST_DEADLINE = "Request-Deadline";
    static final String BOOT_IDENTITY = "Boot-Identity";
    private static final String LOAD = "Load";
    private static final String LEAVING = "Leaving";
    private static final String NOT_RUN = "Not-Run";
    private static final int UNAVAILABLE = 503;
    private static final int LOAD_UNKNOWN = -1;

    private static final Set<String> OWN_REQUEST_HEADERS =
            Set.of("request-id", "caller", "attempt", "request-deadline");
    private static final Set<String> OWN_ANSWER_HEADERS =
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

    static List<Header> of(Attempt attempt, String attemptName, long leftMilliseconds) {
        RequestKey key = attempt.request().key();
        List<Header> headers =
                new ArrayList<>(
                        ConnectionHeaders.without(
                                attempt.request().headers(), OWN_REQUEST_HEADERS));
        headers.add(new Header(REQUEST_ID, key.requestId()));
        headers.add(new Header(CALLER, key.caller()));
        headers.add(new Header(ATTEMPT, attemptName));
        headers.add(new Header(REQUEST_DEADLINE, Long.toString(leftMilliseconds)));
        return headers;
    }

    /** Returns the headers for the caller; a HEAD answer keeps the length that it announces. */
    static List<Header> toPassOn(ExchangeAnswer answer, String method) {
        List<Header> headers =
                new ArrayList<>(ConnectionHeaders.without(answer.headers(), OWN_ANSWER_HEADERS));
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

    /** Tells whether the server says that it did not run the request, and why. */
    static Optional<AttemptFailure> notRun(ExchangeAnswer answer) {
        if (answer.status() != UNAVAILABLE) {
            return Optional.empty();
        }
        return answer.header(NOT_RUN)
                .flatMap(
                        word ->
                                switch (word.strip()) {
                                    case "shed" -> Optional.of(AttemptFailure.SHED);
                                    case "leaving" -> Optional.of(AttemptFailure.LEAVING);
                                    default -> Optional.empty();
                                });
    }
}
