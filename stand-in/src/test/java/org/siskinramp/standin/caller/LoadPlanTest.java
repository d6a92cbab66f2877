package org.siskinramp.standin.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

final class LoadPlanTest {

    @Test
    void surgeHasTwiceTheRequestsOfTheRest() {
        List<PlannedRequest> plan = draw(new LoadShape(2, 1000, 2000, List.of()), 4000);
        long before = countBetween(plan, 0, 1000);
        long surge = countBetween(plan, 1000, 2000);
        long after = countBetween(plan, 2000, 3000);
        assertTrue(before > 900 && before < 1100, () -> "before " + before);
        assertTrue(surge > 1850 && surge < 2150, () -> "surge " + surge);
        assertTrue(after > 900 && after < 1100, () -> "after " + after);
    }

    @Test
    void targetsGetTheirShares() {
        List<PlannedRequest> plan = draw(new LoadShape(1, 0, 0, List.of(2.0, 1.0, 1.0)), 4000);
        long first = plan.stream().filter(request -> request.target() == 0).count();
        long last = plan.stream().filter(request -> request.target() == 2).count();
        assertTrue(first > 1900 && first < 2100, () -> "first " + first);
        assertTrue(last > 900 && last < 1100, () -> "last " + last);
    }

    @Test
    void surgeRaisesTheNumberOfRequests() {
        assertEquals(1.5, new LoadShape(2, 1000, 2000, List.of()).meanFactor(2000));
        assertEquals(1, LoadShape.STEADY.meanFactor(2000));
    }

    @Test
    void kindMayHaveAWeight() {
        List<LoadKind> kinds = LoadKind.parseAll("read:GET:/a:3,order:POST:/b:1:10");
        assertEquals(1, kinds.get(0).weight());
        assertEquals(10, kinds.get(1).weight());
    }

    private static long countBetween(List<PlannedRequest> plan, double from, double to) {
        return plan.stream()
                .filter(request -> request.sendAfterMilliseconds() >= from)
                .filter(request -> request.sendAfterMilliseconds() < to)
                .count();
    }

    private static List<PlannedRequest> draw(LoadShape shape, int requests) {
        List<String> targets = List.of("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
        List<LoadKind> kinds = LoadKind.parseAll("read:GET:/a:1");
        return LoadPlan.draw(
                new CallerSettings(
                        targets, List.of(), kinds, requests, 0, 1000, 3, 7, 100, 0, 0, shape));
    }
}
