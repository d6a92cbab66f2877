package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Failures without end ask for every repeat that the budget allows. */
class RetryBudgetTest {

    private static final long WINDOW = 10_000;
    private static final double SHARE = 0.1;
    private static final int SLACK = 4;
    private static final long STEP = 50;

    private static int mostInAWindow(List<Long> sent) {
        int most = 0;
        for (long from : sent) {
            most =
                    Math.max(
                            most,
                            (int)
                                    sent.stream()
                                            .filter(at -> at >= from && at <= from + WINDOW)
                                            .count());
        }
        return most;
    }

    /** Sends what is allowed at each step, each repeat after a wait in the queue. */
    private static void sendAll(long from, long to, long wait, List<Long> sent) {
        RetryBudget budget = new RetryBudget(SHARE, WINDOW);
        HostCount hosts = new HostCount(1, from, WINDOW);
        List<Long> due = new ArrayList<>();
        for (long now = from; now < to; now += STEP) {
            long time = now;
            due.stream().filter(at -> at <= time).forEach(at -> sent.add(time));
            due.stream().filter(at -> at <= time).forEach(at -> budget.countRepeat(time));
            due.removeIf(at -> at <= time);
            while (budget.allows(now, hosts.partOf(SLACK, now))) {
                budget.reserve();
                due.add(now + wait);
            }
        }
    }

    @Test
    void noWindowHoldsMoreThanTheSlack() {
        List<Long> sent = new ArrayList<>();
        sendAll(0, 60_000, 0, sent);
        assertTrue(sent.size() >= 4 * SLACK, "sent " + sent.size());
        assertEquals(SLACK, mostInAWindow(sent));
    }

    @Test
    void aRepeatCountsWhenItIsSentAndNotWhenItIsAllowed() {
        List<Long> sent = new ArrayList<>();
        sendAll(0, 60_000, 900, sent);
        assertEquals(SLACK, mostInAWindow(sent));
    }

    /** Half of the operators' slack is shared out, so that a host may use its part twice. */
    @Test
    void aSeriesOfStartsGrantsAtMostTwiceTheSlackInAWindow() {
        List<Long> sent = new ArrayList<>();
        sendAll(0, 20_000, 0, sent);
        for (long start = 20_000; start < 40_000; start += 1_500) {
            sendAll(start, start + 1_500, 0, sent);
        }
        assertTrue(mostInAWindow(sent) <= 2 * SLACK, "in a window: " + mostInAWindow(sent));
    }

    @Test
    void requestsEarnTheirShareAtOnce() {
        RetryBudget budget = new RetryBudget(SHARE, WINDOW);
        for (int request = 0; request < 20; request++) {
            budget.countRequest(100);
        }
        budget.reserve();
        assertTrue(budget.allows(100, 0));
        budget.reserve();
        assertFalse(budget.allows(100, 0));
    }

    @Test
    void aRepeatThatIsNotSentIsGivenBack() {
        RetryBudget budget = new RetryBudget(SHARE, WINDOW);
        for (int request = 0; request < 10; request++) {
            budget.countRequest(100);
        }
        budget.reserve();
        assertFalse(budget.allows(100, 0));
        budget.release();
        assertTrue(budget.allows(100, 0));
    }
}
