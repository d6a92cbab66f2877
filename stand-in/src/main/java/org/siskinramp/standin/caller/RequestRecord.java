package org.siskinramp.standin.caller;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.siskinramp.log.LogEvent;

/** Collects the results of all copies of a request. */
final class RequestRecord {

    private final PlannedRequest request;
    private final Set<String> answerContents = new HashSet<>();
    private Outcome outcome = Outcome.NOT_RUN;
    private boolean crossed;
    private boolean doubled;
    private long latencyMicroseconds = -1;

    RequestRecord(PlannedRequest request) {
        this.request = request;
    }

    synchronized void addResult(CopyResult result, long elapsedMicroseconds) {
        outcome = outcome.stronger(result.outcome());
        crossed = crossed || result.crossed();
        if (result.outcome() == Outcome.ANSWERED) {
            answerContents.add(result.content());
            latencyMicroseconds =
                    latencyMicroseconds < 0 ? elapsedMicroseconds : latencyMicroseconds;
        }
    }

    PlannedRequest request() {
        return request;
    }

    synchronized Outcome outcome() {
        return outcome;
    }

    synchronized void markRunMoreThanOnce() {
        doubled = !request.kind().isIdempotent();
    }

    /** Tells whether the caller got the answer of another request, or two different answers. */
    synchronized boolean isMismatched() {
        return crossed || answerContents.size() > 1;
    }

    synchronized boolean isDoubled() {
        return doubled;
    }

    synchronized boolean isServed(long deadlineMicroseconds) {
        return outcome == Outcome.ANSWERED
                && !isMismatched()
                && !doubled
                && latencyMicroseconds <= deadlineMicroseconds;
    }

    synchronized long latencyMicroseconds() {
        return latencyMicroseconds;
    }

    synchronized LogEvent toEvent() {
        return LogEvent.named("request")
                .with("caller", request.key().caller())
                .with("request_id", request.key().requestId())
                .with("kind", request.kind().name())
                .with("copies", request.copies())
                .with("outcome", outcome.name().toLowerCase(Locale.ROOT))
                .with("latency_us", latencyMicroseconds);
    }
}
