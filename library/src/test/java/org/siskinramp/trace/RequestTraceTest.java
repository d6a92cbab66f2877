package org.siskinramp.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RequestTraceTest {

    private static final String PLACE = "event=place request=a1 backend_server=i-1 attempt=%d";
    private static final String END = "event=attempt_end request=a1 attempt=%d outcome=%s";

    private static RequestTrace trace(String... lines) {
        RequestTrace trace = new RequestTrace("a1");
        List.of(lines).forEach(trace::add);
        return trace;
    }

    private static String place(int attempt) {
        return PLACE.formatted(attempt);
    }

    private static String end(int attempt, String outcome) {
        return END.formatted(attempt, outcome);
    }

    private static String last(String event, int attempts) {
        return "event=%s request=a1 result_code=203 reason=x attempts=%d"
                .formatted(event, attempts);
    }

    @Test
    void aRefusedRequestThatWasNeverSentHasNotRun() {
        assertEquals(TraceVerdict.NOT_RUN, trace(last("request_refused", 0)).verdict());
        assertEquals(
                TraceVerdict.NOT_RUN,
                trace("WARN event=refuse request=a1 code=406 reason=X").verdict());
    }

    @Test
    void aCancelledRequestHasNotRunOnlyIfItWasNeverSent() {
        String cancelled = "event=request_cancelled request=a1 attempts=%d took_ms=250";
        RequestTrace unsent = trace(cancelled.formatted(0));
        assertEquals(TraceVerdict.NOT_RUN, unsent.verdict());
        assertEquals("its caller closed the connection 250 ms after it sent", unsent.reason());
        assertEquals(
                TraceVerdict.UNKNOWN,
                trace(place(1), cancelled.formatted(1), end(1, "cancelled")).verdict());
    }

    @Test
    void aRefusedRequestWhoseAttemptsAllProvablyDidNotRunHasNotRun() {
        assertEquals(
                TraceVerdict.NOT_RUN,
                trace(
                                place(1),
                                end(1, "shed"),
                                place(2),
                                end(2, "connection_refused"),
                                last("request_refused", 2))
                        .verdict());
    }

    @Test
    void anAnsweredRequestRanOnceIfAllOtherAttemptsProvablyDidNot() {
        assertEquals(
                TraceVerdict.RAN_ONCE,
                trace(place(1), end(1, "answered_200"), last("request_answered", 1)).verdict());
        assertEquals(
                TraceVerdict.RAN_ONCE,
                trace(
                                place(1),
                                end(1, "shed"),
                                place(2),
                                end(2, "answered_200"),
                                last("request_answered", 2))
                        .verdict());
    }

    @Test
    void aLostAttemptBeforeTheAnswerMayHaveRunToo() {
        assertEquals(
                TraceVerdict.RAN,
                trace(
                                place(1),
                                end(1, "connection_broken"),
                                place(2),
                                end(2, "answered_200"),
                                last("request_answered", 2))
                        .verdict());
    }

    @Test
    void attemptsWithoutLogLinesMayHaveRun() {
        assertEquals(TraceVerdict.RAN, trace(last("request_answered", 2)).verdict());
        assertEquals(TraceVerdict.UNKNOWN, trace(last("request_refused", 1)).verdict());
    }

    @Test
    void theVerdictOfAFailedOrUnfinishedRequestIsUnknown() {
        assertEquals(
                TraceVerdict.UNKNOWN,
                trace(place(1), end(1, "connection_broken"), last("request_failed", 1)).verdict());
        assertEquals(TraceVerdict.UNKNOWN, trace(place(1)).verdict());
        assertTrue(trace(place(1)).reason().contains("not logged"));
    }

    @Test
    void anUnknownOutcomeProvesNothing() {
        assertEquals(
                TraceVerdict.UNKNOWN,
                trace(place(1), end(1, "outcome_of_a_later_version"), last("request_refused", 1))
                        .verdict());
    }

    @Test
    void ignoresLinesOfOtherRequestsEvenIfTheyMentionThisOne() {
        RequestTrace trace =
                trace(
                        "event=request_answered request=a12 attempts=1",
                        "event=refuse request=b path=\"/x request=a1\" code=406",
                        "event=lines_left_out place=12");
        assertEquals(TraceVerdict.UNKNOWN, trace.verdict());
        assertEquals(List.of(), trace.lines());
        assertTrue(trace.reason().contains("left out"), trace.reason());
    }
}
