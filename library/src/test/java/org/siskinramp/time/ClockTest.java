package org.siskinramp.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class ClockTest {

    @Test
    void monotonicTimeNeverRunsBackwards() {
        Clock clock = new SystemClock();
        long first = clock.monotonicMilliseconds();
        assertTrue(clock.monotonicMilliseconds() >= first);
    }
}
