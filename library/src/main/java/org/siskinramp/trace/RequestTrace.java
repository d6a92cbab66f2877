package org.siskinramp.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.siskinramp.attempt.AttemptFailure;

/**
 * Tells what became of a request by the lines that gateways wrote of it.
 *
 * <pre>{@code
 * RequestTrace trace = new RequestTrace("d53d3d78eca1b9e2");
 * lines.forEach(trace::add);
 * trace.verdict();
 * }</pre>
 *
 * <p>A gateway bounds its lines, so lines may be missing. An attempt of which no end is known
 * counts as one that may have run.
 */
public final class RequestTrace {

    private final String requestId;
    private final List<LogLine> lines = new ArrayList<>();
    private int leftOutNotices;

    /**
     * Starts without lines.
     *
     * @param requestId the request's identifier
     */
    public RequestTrace(String requestId) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
    }

    /**
     * Takes a line of any log in. Lines of other requests are passed over.
     *
     * @param text the line
     */
    public void add(String text) {
        if (text.contains("event=lines_left_out")) {
            leftOutNotices++;
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
     * Judges the lines so far.
     *
     * @return what they prove
     */
    public TraceVerdict verdict() {
        if (find("request_answered").isPresent()) {
            return mayHaveRun() > 1 ? TraceVerdict.RAN : TraceVerdict.RAN_ONCE;
        }
        boolean refused = find("request_refused").isPresent() || find("refuse").isPresent();
        return refused && mayHaveRun() == 0 ? TraceVerdict.NOT_RUN : TraceVerdict.UNKNOWN;
    }

    /** Counts the attempts that no line proves not to have run. */
    private int mayHaveRun() {
        int sent = (int) lines.stream().filter(line -> line.is("place")).count();
        int known =
                lines.stream()
                        .flatMap(line -> line.number("attempts").stream())
                        .max(Integer::compare)
                        .orElse(0);
        int proven =
                (int)
                        lines.stream()
                                .filter(line -> line.is("attempt_end"))
                                .filter(line -> isNotRun(line.value("outcome")))
                                .count();
        return Math.max(sent, known) - proven;
    }

    /** An answer of the server, and a failure that this version does not know, prove nothing. */
    private static boolean isNotRun(String outcome) {
        return AttemptFailure.ofWord(outcome).filter(AttemptFailure::isNotRun).isPresent();
    }

    /**
     * Explains the verdict.
     *
     * @return one sentence
     */
    public String reason() {
        if (lines.isEmpty()) {
            return "no line names it"
                    + (leftOutNotices > 0
                            ? "; " + leftOutNotices + " notices say that lines were left out"
                            : "; it reached none of these gateways, or their lines are not here");
        }
        Optional<LogLine> end =
                find("request_answered")
                        .or(() -> find("request_refused"))
                        .or(() -> find("request_failed"))
                        .or(() -> find("refuse"));
        return end.map(RequestTrace::endReason)
                .orElse("its end is not logged: it is in progress, or the gateway ended first");
    }

    private static String endReason(LogLine end) {
        return end.value("event")
                + " with result code "
                + (end.value("result_code").isEmpty()
                        ? end.value("code")
                        : end.value("result_code"))
                + ", reason "
                + end.value("reason");
    }

    private Optional<LogLine> find(String event) {
        return lines.stream().filter(line -> line.is(event)).findFirst();
    }
}
