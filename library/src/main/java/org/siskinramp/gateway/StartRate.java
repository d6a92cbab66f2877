package org.siskinramp.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/** Measures the rate at which requests are started, to estimate how long a new one would wait. */
final class StartRate {

    private static final long WINDOW_MILLISECONDS = 1_000;
    private static final int MINIMUM_STARTS = 3;

    private final Deque<Long> starts = new ArrayDeque<>();

    void recordStart(long now) {
        starts.addLast(now);
        dropOld(now);
    }

    private void dropOld(long now) {
        while (!starts.isEmpty() && now - starts.peekFirst() > WINDOW_MILLISECONDS) {
            starts.removeFirst();
        }
    }

    /**
     * Estimates how long it takes to start a number of requests at the current rate.
     *
     * @param requests the number of requests
     * @param now monotonic milliseconds
     * @return milliseconds, or 0 while too few starts are known
     */
    long expectedWaitMilliseconds(int requests, long now) {
        dropOld(now);
        if (starts.size() < MINIMUM_STARTS) {
            return 0;
        }
        return requests * WINDOW_MILLISECONDS / starts.size();
    }
}
