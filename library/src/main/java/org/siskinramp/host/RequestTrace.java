package org.siskinramp.host;

import java.util.List;
import org.siskinramp.journal.JournalAttempt;
import org.siskinramp.journal.JournalEntry;
import org.siskinramp.ledger.Claim;
import org.siskinramp.request.Request;
import org.siskinramp.result.ResultCode;
import org.siskinramp.routing.AttemptRecord;
import org.siskinramp.routing.RequestRun;
import org.siskinramp.time.Clock;

/** Collects what the journal needs to know of one request while it passes through this host. */
final class RequestTrace {

    private final Request request;
    private volatile String claim = "";
    private volatile RequestRun run;

    RequestTrace(Request request) {
        this.request = request;
    }

    Request request() {
        return request;
    }

    void setClaim(Claim granted) {
        claim = granted.token();
    }

    void setRun(RequestRun started) {
        run = started;
    }

    JournalEntry entry(ResultCode code, Clock clock) {
        long duration = Math.max(0, clock.monotonicMilliseconds() - request.arrivedMilliseconds());
        return new JournalEntry(
                request.key(),
                request.kind().name(),
                request.kind().idempotent(),
                request.contentHash(),
                claim,
                attempts(),
                code.number(),
                clock.calendarMilliseconds() - duration,
                duration);
    }

    private List<JournalAttempt> attempts() {
        RequestRun started = run;
        return started == null
                ? List.of()
                : started.attempts().stream().map(RequestTrace::attempt).toList();
    }

    private static JournalAttempt attempt(AttemptRecord record) {
        return new JournalAttempt(record.backendServer(), record.result(), record.mayHaveRun());
    }
}
