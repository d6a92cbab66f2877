package org.siskinramp.standin.server;

import java.util.ArrayDeque;
import java.util.Deque;
import org.siskinramp.time.Clock;

/** Reports the number of requests in progress as it was a fixed lag ago. */
final class LaggedLoad {

    private final Clock clock;
    private final long lagMilliseconds;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private int reported;

    LaggedLoad(Clock clock, long lagMilliseconds) {
        this.clock = clock;
        this.lagMilliseconds = lagMilliseconds;
    }

    synchronized void set(int requestsInProgress) {
        samples.addLast(new Sample(clock.monotonicMilliseconds(), requestsInProgress));
        removeDueSamples();
    }

    synchronized int reported() {
        removeDueSamples();
        return reported;
    }

    private void removeDueSamples() {
        long dueMilliseconds = clock.monotonicMilliseconds() - lagMilliseconds;
        while (!samples.isEmpty() && samples.getFirst().atMilliseconds <= dueMilliseconds) {
            reported = samples.removeFirst().requestsInProgress;
        }
    }

    private record Sample(long atMilliseconds, int requestsInProgress) {}
}
