package org.siskinramp.standin.server;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.request.RequestKey;
import org.siskinramp.time.Clock;

/**
 * Records which requests a backend server really ran, and counts overload, refusals and crashes.
 * The counts survive simulated crashes and cold starts of the server.
 */
final class ExecutionRecorder {

    private final Clock clock;
    private final Map<RequestKey, RunCount> runsByRequest = new HashMap<>();
    private long runs;
    private long overLimit;
    private long coldOverload;
    private long shed;
    private long cancelled;
    private long expired;
    private long crashes;
    private int greatestInProgress;
    private int inProgress;
    private long lastNewWorkAtMilliseconds;

    ExecutionRecorder(Clock clock) {
        this.clock = clock;
    }

    synchronized void requestAccepted(int requestsInProgress) {
        inProgress = requestsInProgress;
        greatestInProgress = Math.max(greatestInProgress, requestsInProgress);
        lastNewWorkAtMilliseconds = clock.calendarMilliseconds();
    }

    synchronized void requestEnded(int requestsInProgress) {
        inProgress = requestsInProgress;
    }

    synchronized void runStarted(RequestKey key, boolean idempotent) {
        runs++;
        runsByRequest.merge(
                key,
                new RunCount(key.caller(), key.requestId(), idempotent, 1),
                (previous, unused) -> previous.incremented());
    }

    synchronized void exceededSlots() {
        overLimit++;
    }

    synchronized void exceededColdSlots() {
        coldOverload++;
    }

    synchronized void requestRefused() {
        shed++;
    }

    synchronized void requestCancelled() {
        cancelled++;
    }

    synchronized void requestExpired() {
        expired++;
    }

    synchronized void serverCrashed() {
        crashes++;
        inProgress = 0;
    }

    synchronized int runsOf(RequestKey key) {
        RunCount count = runsByRequest.get(key);
        return count == null ? 0 : count.runs();
    }

    synchronized List<RunCount> runCounts() {
        return List.copyOf(runsByRequest.values());
    }

    synchronized ExecutionStatistics statistics(String server, String bootIdentity) {
        List<RunCount> doubled =
                runsByRequest.values().stream()
                        .filter(count -> !count.idempotent() && count.runs() > 1)
                        .toList();
        return new ExecutionStatistics(
                server,
                bootIdentity,
                runs,
                overLimit,
                coldOverload,
                shed,
                cancelled,
                expired,
                crashes,
                greatestInProgress,
                inProgress,
                lastNewWorkAtMilliseconds,
                doubled);
    }
}
