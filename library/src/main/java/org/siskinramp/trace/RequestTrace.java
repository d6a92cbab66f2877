package org.siskinramp.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.siskinramp.attempt.AttemptFailure;

/**
 * Determines the outcome of a request from the lines that gateways logged about it.
 *
 * <pre>{@code
 * RequestTrace trace = new RequestTrace("d53d3d78eca1b9e2");
 * lines.forEach(trace::add);
 * trace.verdict();
 * }</pre>
 *
 * <p>A gateway limits the rate of its log lines, so lines may be missing. An attempt without a line
 * on its end counts as one that may have run.
 */
public final class RequestTrace {

    private final String requestId;
    private final List<LogLine> lines = new ArrayList<>();
    private int omissionNotices;

    /**
     * Creates a trace without lines.
     *
     * @param requestId the request's identifier
     */
    public RequestTrace(String requestId) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
    }

    /**
     * Adds a log line. Lines of other requests are ignored.
     *
     * @param text the line
     */
    public void add(String text) {
        if (text.contains("event=lines_left_out")) {
            omissionNotices++;
        } else if (text.contains(requestId)) {
            LogLine line = LogLine.parse(text);
            if (line.value("request").equals(requestId)) {
                lines.add(line);
            }
        }
    }

    /**
     * Returns the lines of the request.
     *
     * @return the lines, in the order in which they were added
     */
    public List<String> lines() {
        return lines.stream().map(LogLine::text).toList();
    }

    /**
     * Evaluates the lines that were added so far.
     *
     * @return what they prove
     */
    public TraceVerdict verdict() {
        if (find("request_answered").isPresent()) {
            return countPossibleRuns() > 1 ? TraceVerdict.RAN : TraceVerdict.RAN_ONCE;
        }
        boolean ended =
                find("request_refused")
                        .or(() -> find("refuse"))
                        .or(() -> find("request_cancelled"))
                        .isPresent();
        return ended && countPossibleRuns() == 0 ? TraceVerdict.NOT_RUN : TraceVerdict.UNKNOWN;
    }

    /** Counts the attempts that may have run: those that no line proves not to have run. */
    private int countPossibleRuns() {
        int placed = (int) lines.stream().filter(line -> line.isEvent("place")).count();
        int reported =
                lines.stream()
                        .flatMap(line -> line.number("attempts").stream())
                        .max(Integer::compare)
                        .orElse(0);
        int provenNotRun =
                (int)
                        lines.stream()
                                .filter(line -> line.isEvent("attempt_end"))
                                .filter(line -> isNotRun(line.value("outcome")))
                                .count();
        return Math.max(placed, reported) - provenNotRun;
    }

    /**
     * Tells whether an outcome proves that the attempt did not run. An answer, and a failure that
     * this version does not know, prove nothing.
     */
    private static boolean isNotRun(String outcome) {
        return AttemptFailure.ofLogName(outcome).filter(AttemptFailure::isNotRun).isPresent();
    }

    /**
     * Explains the verdict.
     *
     * @return one sentence
     */
    public String reason() {
        if (lines.isEmpty()) {
            return "no log line of this request"
                    + (omissionNotices > 0
                            ? "; " + omissionNotices + " notices say that lines were left out"
                            : "; it reached none of these gateways, or their log lines are missing");
        }
        Optional<LogLine> end =
                find("request_answered")
                        .or(() -> find("request_refused"))
                        .or(() -> find("request_failed"))
                        .or(() -> find("refuse"))
                        .or(() -> find("request_cancelled"));
        return end.map(RequestTrace::endReason)
                .orElse("its end is not logged: it is in progress, or the gateway stopped before");
    }

    private static String endReason(LogLine end) {
        if (end.isEvent("request_cancelled")) {
            return "its caller closed the connection " + end.value("took_ms") + " ms after it sent";
        }
        return end.value("event")
                + " with result code "
                + (end.value("result_code").isEmpty()
                        ? end.value("code")
                        : end.value("result_code"))
                + ", reason "
                + end.value("reason");
    }

    private Optional<LogLine> find(String event) {
        return lines.stream().filter(line -> line.isEvent(event)).findFirst();
    }
}
