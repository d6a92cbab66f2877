package org.siskinramp.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the recent crashes under requests of one route. */
final class RouteCrashes {

    private static final int CRASH_LIMIT = 3;
    private static final long WINDOW_MILLISECONDS = 10_000;

    private final Deque<Long> times = new ArrayDeque<>();

    void add(long now) {
        times.addLast(now);
        if (times.size() > CRASH_LIMIT) {
            times.removeFirst();
        }
    }

    boolean isLimitReached(long now) {
        return times.size() >= CRASH_LIMIT && now - times.peekFirst() <= WINDOW_MILLISECONDS;
    }

    boolean isExpired(long now) {
        return now - times.peekLast() > WINDOW_MILLISECONDS;
    }
}
