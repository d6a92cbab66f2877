package org.siskinramp.standin.server;

import java.util.ArrayDeque;
import java.util.Deque;
import org.siskinramp.time.Clock;

/** Reports the load as it was some time ago. */
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
        forgetOld();
    }

    synchronized int reported() {
        forgetOld();
        return reported;
    }

    private void forgetOld() {
        long newest = clock.monotonicMilliseconds() - lagMilliseconds;
        while (!samples.isEmpty() && samples.getFirst().atMilliseconds <= newest) {
            reported = samples.removeFirst().requestsInProgress;
        }
    }

    private record Sample(long atMilliseconds, int requestsInProgress) {}
}
