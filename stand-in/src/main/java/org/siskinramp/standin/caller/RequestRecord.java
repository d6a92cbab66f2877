package org.siskinramp.standin.caller;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.siskinramp.log.LogEvent;

/** Collects what became of all copies of a request. */
final class RequestRecord {

    private final PlannedRequest request;
    private final Set<String> contents = new HashSet<>();
    private Outcome outcome = Outcome.NOT_RUN;
    private boolean crossed;
    private long latencyMilliseconds = -1;

    RequestRecord(PlannedRequest request) {
        this.request = request;
    }

    synchronized void add(CopyResult result, long sinceIntendedMilliseconds) {
        outcome = outcome.strongest(result.outcome());
        crossed = crossed || result.crossed();
        if (result.outcome() == Outcome.ANSWERED) {
            contents.add(result.content());
            latencyMilliseconds =
                    latencyMilliseconds < 0 ? sinceIntendedMilliseconds : latencyMilliseconds;
        }
    }

    PlannedRequest request() {
        return request;
    }

    synchronized Outcome outcome() {
        return outcome;
    }

    synchronized boolean isCrossed() {
        return crossed;
    }

    synchronized boolean isAnsweredDifferently() {
        return contents.size() > 1;
    }

    synchronized long latencyMilliseconds() {
        return latencyMilliseconds;
    }

    synchronized LogEvent toEvent() {
        return LogEvent.named("request")
                .with("caller", request.key().caller())
                .with("request_id", request.key().requestId())
                .with("kind", request.kind().name())
                .with("copies", request.copies())
                .with("outcome", outcome.name().toLowerCase(Locale.ROOT))
                .with("latency_ms", latencyMilliseconds);
    }
}
