package org.siskinramp.standin.server;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.request.RequestKey;
import org.siskinramp.time.Clock;

/** Counts what really happens on a backend server, across its cold starts. */
final class Judge {

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

    Judge(Clock clock) {
        this.clock = clock;
    }

    synchronized void arrived(int nowInProgress) {
        inProgress = nowInProgress;
        greatestInProgress = Math.max(greatestInProgress, nowInProgress);
        lastNewWorkAtMilliseconds = clock.calendarMilliseconds();
    }

    synchronized void left(int nowInProgress) {
        inProgress = nowInProgress;
    }

    synchronized void began(RequestKey key, boolean idempotent) {
        runs++;
        runsByRequest.merge(
                key,
                new RunCount(key.caller(), key.requestId(), idempotent, 1),
                (before, first) -> before.oneMore());
    }

    synchronized void wentOverLimit() {
        overLimit++;
    }

    synchronized void wasOverloadedCold() {
        coldOverload++;
    }

    synchronized void shed() {
        shed++;
    }

    synchronized void cancelled() {
        cancelled++;
    }

    synchronized void expired() {
        expired++;
    }

    synchronized void crashed() {
        crashes++;
        inProgress = 0;
    }

    synchronized int runsOf(RequestKey key) {
        RunCount count = runsByRequest.get(key);
        return count == null ? 0 : count.runs();
    }

    synchronized List<RunCount> allRuns() {
        return List.copyOf(runsByRequest.values());
    }

    synchronized Verdict verdict(String server, String bootIdentity) {
        List<RunCount> doubled =
                runsByRequest.values().stream()
                        .filter(count -> !count.idempotent() && count.runs() > 1)
                        .toList();
        return new Verdict(
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
