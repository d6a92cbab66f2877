package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Every request fails, so that each retry that the budget allows is sent. */
class RetryBudgetTest {

    private static final long WINDOW_MILLISECONDS = 10_000;
    private static final double RETRY_RATIO = 0.1;
    private static final int SLACK = 4;
    private static final long STEP_MILLISECONDS = 50;

    private static int maximumInOneWindow(List<Long> sent) {
        int maximumRetries = 0;
        for (long from : sent) {
            maximumRetries =
                    Math.max(
                            maximumRetries,
                            (int)
                                    sent.stream()
                                            .filter(
                                                    at ->
                                                            at >= from
                                                                    && at
                                                                            <= from
                                                                                    + WINDOW_MILLISECONDS)
                                            .count());
        }
        return maximumRetries;
    }

    /** Reserves all allowed retries at each step and sends each after a wait in the queue. */
    private static void sendAllowed(long from, long to, long waitMilliseconds, List<Long> sent) {
        RetryBudget budget = new RetryBudget(RETRY_RATIO, WINDOW_MILLISECONDS);
        HostShare hostShare = new HostShare(1, from, WINDOW_MILLISECONDS);
        List<Long> due = new ArrayList<>();
        for (long now = from; now < to; now += STEP_MILLISECONDS) {
            long time = now;
            due.stream().filter(at -> at <= time).forEach(at -> sent.add(time));
            due.stream().filter(at -> at <= time).forEach(at -> budget.countRetry(time));
            due.removeIf(at -> at <= time);
            while (budget.allows(now, hostShare.shareOf(SLACK, now))) {
                budget.reserve();
                due.add(now + waitMilliseconds);
            }
        }
    }

    @Test
    void noWindowHoldsMoreRetriesThanTheSlack() {
        List<Long> sent = new ArrayList<>();
        sendAllowed(0, 60_000, 0, sent);
        assertTrue(sent.size() >= 4 * SLACK, "sent " + sent.size());
        assertEquals(SLACK, maximumInOneWindow(sent));
    }

    @Test
    void aRetryCountsWhenItIsSentAndNotWhenItIsAllowed() {
        List<Long> sent = new ArrayList<>();
        sendAllowed(0, 60_000, 900, sent);
        assertEquals(SLACK, maximumInOneWindow(sent));
    }

    /**
     * Hosts share half of the slack that operators configure, so a host may use its share twice.
     */
    @Test
    void frequentRestartsGrantAtMostTwiceTheSlackInAWindow() {
        List<Long> sent = new ArrayList<>();
        sendAllowed(0, 20_000, 0, sent);
        for (long start = 20_000; start < 40_000; start += 1_500) {
            sendAllowed(start, start + 1_500, 0, sent);
        }
        assertTrue(
                maximumInOneWindow(sent) <= 2 * SLACK, "in a window: " + maximumInOneWindow(sent));
    }

    @Test
    void eachRequestAddsItsRetryRatioAtOnce() {
        RetryBudget budget = new RetryBudget(RETRY_RATIO, WINDOW_MILLISECONDS);
        for (int request = 0; request < 20; request++) {
            budget.countRequest(100);
        }
        budget.reserve();
        assertTrue(budget.allows(100, 0));
        budget.reserve();
        assertFalse(budget.allows(100, 0));
    }

    @Test
    void aRetryThatIsNotSentIsReleased() {
        RetryBudget budget = new RetryBudget(RETRY_RATIO, WINDOW_MILLISECONDS);
        for (int request = 0; request < 10; request++) {
            budget.countRequest(100);
        }
        budget.reserve();
        assertFalse(budget.allows(100, 0));
        budget.release();
        assertTrue(budget.allows(100, 0));
    }
}
