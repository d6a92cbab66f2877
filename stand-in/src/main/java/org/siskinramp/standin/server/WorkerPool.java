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
 * Keeps the requests that run and those that wait for a slot. It is not safe for use by several
 * threads; {@link BackendServerStandIn} holds its own lock around every call.
 */
final class WorkerPool {

    private final ServerSettings settings;
    private final SplittableRandom random;
    private final Set<Work> running = new LinkedHashSet<>();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private int finishedSinceBoot;
    private boolean cold;

    WorkerPool(ServerSettings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed());
        boot();
    }

    void boot() {
        running.clear();
        waiting.clear();
        turnCold();
    }

    void turnCold() {
        finishedSinceBoot = 0;
        cold = settings.warmAfterRequests() > 0;
    }

    boolean isCold() {
        return cold;
    }

    int inProgress() {
        return running.size() + waiting.size();
    }

    boolean isOverLimit() {
        return inProgress() > settings.slots();
    }

    boolean isOverloadedCold() {
        return cold && inProgress() > settings.coldSlots();
    }

    boolean isFull() {
        return inProgress() > settings.slots() + settings.acceptQueue();
    }

    void add(Work work) {
        waiting.addLast(work);
    }

    /** Starts the request that has waited longest, if a slot is free. */
    Optional<Work> startNext() {
        if (waiting.isEmpty() || running.size() >= settings.slots()) {
            return Optional.empty();
        }
        Work work = waiting.removeFirst();
        work.enter(Work.State.RUNNING);
        running.add(work);
        return Optional.of(work);
    }

    void finish(Work work) {
        remove(work);
        finishedSinceBoot++;
        cold = cold && finishedSinceBoot < settings.warmAfterRequests();
    }

    void remove(Work work) {
        work.enter(Work.State.ENDED);
        running.remove(work);
        waiting.remove(work);
    }

    List<Work> all() {
        List<Work> all = new ArrayList<>(running);
        all.addAll(waiting);
        return all;
    }

    long drawMilliseconds(double factor) {
        double mean = settings.workMilliseconds() * factor;
        return Math.round(settings.distribution().draw(random, mean));
    }
}
