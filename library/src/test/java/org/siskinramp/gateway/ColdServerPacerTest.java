package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;

/** All servers of a service are cold, and each of many hosts has requests for each server. */
class ColdServerPacerTest {

    private static final double REQUESTS_PER_SECOND = 6;
    private static final int HOSTS = 110;

    /** The platform's limit for one second: 1.5 times the rate plus 8. */
    private static final int MAXIMUM_IN_ONE_SECOND = 17;

    @Test
    void hostsTogetherReachTheRateAndStayWithinItsLimit() {
        for (int seed = 0; seed < 50; seed++) {
            Usage usage = simulate(seed, now -> true);
            assertTrue(
                    usage.maximumInOneSecond <= MAXIMUM_IN_ONE_SECOND,
                    "seed " + seed + ": " + usage.maximumInOneSecond);
            assertEquals(REQUESTS_PER_SECOND, usage.requestsPerSecond, 1.0);
        }
    }

    @Test
    void hostsThatStartSendingSimultaneouslyStayWithinTheLimit() {
        for (int seed = 0; seed < 50; seed++) {
            Usage usage = simulate(seed, now -> now >= 60_000);
            assertTrue(
                    usage.maximumInOneSecond <= MAXIMUM_IN_ONE_SECOND,
                    "seed " + seed + ": " + usage.maximumInOneSecond);
        }
    }

    @Test
    void opensOneWindowInEachPeriod() {
        ColdServerPacer pacer = new ColdServerPacer(() -> 0.5);
        assertTrue(!pacer.isWindowOpen(1, 10, 0));
        assertTrue(pacer.isWindowOpen(1, 10, 5_000));
        pacer.useWindow();
        assertTrue(!pacer.isWindowOpen(1, 10, 5_001));
        assertTrue(pacer.isWindowOpen(1, 10, 15_000));
        assertTrue(!pacer.isWindowOpen(1, 10, 15_300));
        assertTrue(pacer.isWindowOpen(1, 10, 25_000));
    }

    private static Usage simulate(int seed, LongPredicate demand) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ColdServerPacer> hosts = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            hosts.add(new ColdServerPacer(random::nextDouble));
        }
        Deque<Long> lastSecond = new ArrayDeque<>();
        int maximumInOneSecond = 0;
        int total = 0;
        for (long now = 0; now < 120_000; now += 5) {
            for (ColdServerPacer host : hosts) {
                if (host.isWindowOpen(REQUESTS_PER_SECOND, HOSTS, now) && demand.test(now)) {
                    host.useWindow();
                    lastSecond.addLast(now);
                    total++;
                }
            }
            while (!lastSecond.isEmpty() && lastSecond.peekFirst() <= now - 1_000) {
                lastSecond.removeFirst();
            }
            maximumInOneSecond = Math.max(maximumInOneSecond, lastSecond.size());
        }
        return new Usage(maximumInOneSecond, total / 120.0);
    }

    private record Usage(int maximumInOneSecond, double requestsPerSecond) {}
}
