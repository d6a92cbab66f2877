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

/** A whole service is cold, and each of many hosts has requests for each of its servers. */
class ColdTurnsTest {

    private static final double PER_SECOND = 6;
    private static final int HOSTS = 110;

    /** What the platform's bounds allow in a second: 1.5 times the rate and 8 more. */
    private static final int MOST_IN_A_SECOND = 17;

    @Test
    void hostsTogetherUseTheRateAndStayWithinItsBound() {
        for (int seed = 0; seed < 50; seed++) {
            Usage usage = use(seed, now -> true);
            assertTrue(usage.most <= MOST_IN_A_SECOND, "seed " + seed + ": " + usage.most);
            assertEquals(PER_SECOND, usage.perSecond, 1.0);
        }
    }

    @Test
    void hostsThatAllBeginToSendAtOnceStayWithinTheBound() {
        for (int seed = 0; seed < 50; seed++) {
            Usage usage = use(seed, now -> now >= 60_000);
            assertTrue(usage.most <= MOST_IN_A_SECOND, "seed " + seed + ": " + usage.most);
        }
    }

    @Test
    void hasNoTurnBeforeItsTimeAndOneInEachPeriod() {
        ColdTurns turns = new ColdTurns(() -> 0.5);
        assertTrue(!turns.isOpen(1, 10, 0));
        assertTrue(turns.isOpen(1, 10, 5_000));
        turns.use();
        assertTrue(!turns.isOpen(1, 10, 5_001));
        assertTrue(turns.isOpen(1, 10, 15_000));
        assertTrue(!turns.isOpen(1, 10, 15_300));
        assertTrue(turns.isOpen(1, 10, 25_000));
    }

    private static Usage use(int seed, LongPredicate demand) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ColdTurns> hosts = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            hosts.add(new ColdTurns(random::nextDouble));
        }
        Deque<Long> lastSecond = new ArrayDeque<>();
        int most = 0;
        int all = 0;
        for (long now = 0; now < 120_000; now += 5) {
            for (ColdTurns host : hosts) {
                if (host.isOpen(PER_SECOND, HOSTS, now) && demand.test(now)) {
                    host.use();
                    lastSecond.addLast(now);
                    all++;
                }
            }
            while (!lastSecond.isEmpty() && lastSecond.peekFirst() <= now - 1_000) {
                lastSecond.removeFirst();
            }
            most = Math.max(most, lastSecond.size());
        }
        return new Usage(most, all / 120.0);
    }

    private record Usage(int most, double perSecond) {}
}
