package org.siskinramp.standin.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The requests in progress on a backend server: those that run in its slots and those that wait for
 * one. Not thread-safe; {@link BackendServerStandIn} calls it under its own lock.
 */
final class RequestsInProgress {

    private final ServerSettings settings;
    private final SplittableRandom random;
    private final Set<ServerRequest> running = new LinkedHashSet<>();
    private final Deque<ServerRequest> waiting = new ArrayDeque<>();
    private int finishedSinceColdStart;
    private boolean cold;

    RequestsInProgress(ServerSettings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed());
        reset();
    }

    void reset() {
        running.clear();
        waiting.clear();
        resetWarmUp();
    }

    void resetWarmUp() {
        finishedSinceColdStart = 0;
        cold = settings.warmAfterRequests() > 0;
    }

    boolean isCold() {
        return cold;
    }

    int count() {
        return running.size() + waiting.size();
    }

    boolean exceedsSlots() {
        return count() > settings.slots();
    }

    boolean exceedsColdSlots() {
        return cold && count() > settings.coldSlots();
    }

    boolean exceedsQueueLimit() {
        return count() > settings.slots() + settings.queueLimit();
    }

    void add(ServerRequest request) {
        waiting.addLast(request);
    }

    /** Starts the request that has waited longest, if a slot is free. */
    Optional<ServerRequest> startNext() {
        if (waiting.isEmpty() || running.size() >= settings.slots()) {
            return Optional.empty();
        }
        ServerRequest request = waiting.removeFirst();
        request.setState(ServerRequest.State.RUNNING);
        running.add(request);
        return Optional.of(request);
    }

    void finish(ServerRequest request) {
        remove(request);
        finishedSinceColdStart++;
        cold = cold && finishedSinceColdStart < settings.warmAfterRequests();
    }

    void remove(ServerRequest request) {
        request.setState(ServerRequest.State.ENDED);
        running.remove(request);
        waiting.remove(request);
    }

    List<ServerRequest> all() {
        List<ServerRequest> all = new ArrayList<>(running);
        all.addAll(waiting);
        return all;
    }

    long drawServiceTimeMilliseconds(double factor) {
        double meanMilliseconds = settings.meanServiceTimeMilliseconds() * factor;
        return Math.round(settings.distribution().draw(random, meanMilliseconds));
    }
}
