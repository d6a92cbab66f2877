package org.siskinramp.host;

import java.util.List;
import org.siskinramp.journal.JournalAttempt;
import org.siskinramp.journal.JournalEntry;
import org.siskinramp.ledger.Claim;
import org.siskinramp.request.Request;
import org.siskinramp.result.ResultCode;
import org.siskinramp.routing.AttemptRecord;
import org.siskinramp.routing.RoutedRequest;
import org.siskinramp.time.Clock;

/** Collects the data of a request's journal entry while this host processes the request. */
final class RequestTrace {

    private final Request request;
    private volatile String claimToken = "";
    private volatile RoutedRequest routedRequest;

    RequestTrace(Request request) {
        this.request = request;
    }

    Request request() {
        return request;
    }

    void setClaim(Claim granted) {
        claimToken = granted.token();
    }

    void setRoutedRequest(RoutedRequest newRoutedRequest) {
        routedRequest = newRoutedRequest;
    }

    JournalEntry toJournalEntry(ResultCode code, Clock clock) {
        long duration = Math.max(0, clock.monotonicMilliseconds() - request.arrivedMilliseconds());
        return new JournalEntry(
                request.key(),
                request.kind().name(),
                request.kind().idempotent(),
                request.contentHash(),
                claimToken,
                attempts(),
                code.number(),
                clock.calendarMilliseconds() - duration,
                duration);
    }

    private List<JournalAttempt> attempts() {
        RoutedRequest routed = routedRequest;
        return routed == null
                ? List.of()
                : routed.attempts().stream().map(RequestTrace::toJournalAttempt).toList();
    }

    private static JournalAttempt toJournalAttempt(AttemptRecord record) {
        return new JournalAttempt(record.backendServer(), record.result(), record.mayHaveRun());
    }
}
