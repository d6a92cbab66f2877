package org.siskinramp.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/** Measures how often requests are started, to tell how long a new one would wait. */
final class StartRate {

    private static final long WINDOW_MILLISECONDS = 1_000;
    private static final int FEWEST_STARTS = 3;

    private final Deque<Long> starts = new ArrayDeque<>();

    void add(long now) {
        starts.addLast(now);
        drop(now);
    }

    private void drop(long now) {
        while (!starts.isEmpty() && now - starts.peekFirst() > WINDOW_MILLISECONDS) {
            starts.removeFirst();
        }
    }

    /**
     * Estimates how long it takes until some more requests were started.
     *
     * @param requests how many
     * @param now monotonic milliseconds
     * @return milliseconds, 0 while too few starts are known
     */
    long expectedMilliseconds(int requests, long now) {
        drop(now);
        if (starts.size() < FEWEST_STARTS) {
            return 0;
        }
        return requests * WINDOW_MILLISECONDS / starts.size();
    }
}
