package org.siskinramp.standin.caller;

import java.util.HashSet;
import java.util.Set;

/** Collects what became of all copies of a request. */
final class RequestRecord {

    private final PlannedRequest request;
    private final Set<String> contents = new HashSet<>();
    private Outcome outcome = Outcome.NOT_RUN;
    private boolean crossed;
    private long latencyMilliseconds = -1;
    private int openCopies;

    RequestRecord(PlannedRequest request) {
        this.request = request;
        openCopies = request.copies();
    }

    synchronized void add(CopyResult result, long sinceIntendedMilliseconds) {
        openCopies--;
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

    synchronized boolean isEnded() {
        return openCopies == 0;
    }
}
