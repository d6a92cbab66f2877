package org.siskinramp.daemon;

import java.time.Instant;
import java.util.stream.Collectors;
import org.siskinramp.daemon.administration.query.RequestEvent;
import org.siskinramp.daemon.administration.query.RequestHistory;
import org.siskinramp.daemon.administration.query.RequestVerdict;
import org.siskinramp.journal.JournalEntry;
import org.siskinramp.journal.JournalGap;
import org.siskinramp.journal.RecordedEntry;
import org.siskinramp.journal.Verdict;
import org.siskinramp.log.LogEvent;

/** Converts the history of a request from the journals to the form of the administration API. */
final class RequestHistoryConverter {

    private RequestHistoryConverter() {}

    static RequestHistory convert(org.siskinramp.journal.RequestHistory history) {
        return new RequestHistory(
                history.key().caller(),
                history.key().requestId(),
                verdict(history.verdict()),
                history.reason(),
                history.entries().stream()
                        .mapToInt(recorded -> recorded.entry().attempts().size())
                        .sum(),
                history.entries().stream().map(RequestHistoryConverter::event).toList(),
                history.gaps().stream().map(RequestHistoryConverter::gap).toList());
    }

    private static RequestVerdict verdict(Verdict verdict) {
        return switch (verdict) {
            case DID_NOT_RUN -> RequestVerdict.DID_NOT_RUN;
            case RAN_ONCE -> RequestVerdict.RAN_ONCE;
            case RAN_IDEMPOTENT -> RequestVerdict.RAN;
            case MAY_HAVE_RUN_IDEMPOTENT -> RequestVerdict.MAY_HAVE_RUN_IDEMPOTENT;
            case IN_PROGRESS -> RequestVerdict.IN_PROGRESS;
            case MAY_HAVE_RUN_AT_MOST_ONCE -> RequestVerdict.MAY_HAVE_RUN;
            case NO_RECORD -> RequestVerdict.NO_RECORD;
        };
    }

    private static RequestEvent event(RecordedEntry recorded) {
        JournalEntry entry = recorded.entry();
        LogEvent event =
                LogEvent.named("request_end")
                        .with("kind", entry.kind())
                        .with("code", entry.resultCode())
                        .with("duration_ms", entry.durationMilliseconds())
                        .with("attempts", attempts(entry));
        return new RequestEvent(entry.arrivedMilliseconds(), recorded.host(), event.toLine());
    }

    private static String attempts(JournalEntry entry) {
        return entry.attempts().stream()
                .map(attempt -> attempt.backendServer() + ":" + attempt.result())
                .collect(Collectors.joining(","));
    }

    private static String gap(JournalGap gap) {
        return LogEvent.named("journal_gap")
                .with("host", gap.host())
                .with("from", Instant.ofEpochMilli(gap.fromMilliseconds()))
                .with("until", Instant.ofEpochMilli(gap.untilMilliseconds()))
                .with("reason", gap.reason())
                .toLine();
    }
}
