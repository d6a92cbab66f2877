package org.siskinramp.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.routing.RoutingOptions;
import org.siskinramp.warmth.WarmUpOptions;

final class RandomisedRunTest {

    private static final int SEEDS = Integer.getInteger("siskinramp.seeds", 200);

    private static List<String> violations(long seed, RandomisedRun.Options options) {
        return new RandomisedRun(seed, options).execute();
    }

    private static void assertContains(List<String> violations, String text) {
        assertTrue(violations.stream().anyMatch(found -> found.contains(text)), text);
    }

    @Test
    void invariantsHoldUnderRandomFaults() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        long violated = RandomisedRuns.execute(1, SEEDS, output);
        assertEquals(0, violated, () -> bytes.toString(StandardCharsets.UTF_8));
    }

    @Test
    void sameSeedGivesTheSameRun() {
        RandomisedRun first = new RandomisedRun(3, RandomisedRun.Options.DEFAULT);
        RandomisedRun second = new RandomisedRun(3, RandomisedRun.Options.DEFAULT);
        first.execute();
        second.execute();
        assertEquals(first.summary(), second.summary());
    }

    @Test
    void overloadIsDetectedWhenSlotsHaveNoOwner() {
        RoutingOptions routing = RoutingOptions.builder().slotsOwned(false).build();
        assertContains(
                violations(1, RandomisedRun.Options.DEFAULT.withRouting(routing)), " had 5 at ");
    }

    @Test
    void coldOverloadIsDetectedWhenServersCountAsWarmAtOnce() {
        WarmUpOptions warmUpOptions = new WarmUpOptions(1, 0, 0, 2_000, 4.0, 3);
        RoutingOptions routing = RoutingOptions.builder().warmUp(warmUpOptions).build();
        assertContains(
                violations(1, RandomisedRun.Options.DEFAULT.withRouting(routing)), " had 2 at ");
    }

    @Test
    void ordersRunTwiceAreDetectedWithoutClaims() {
        assertContains(
                violations(1, RandomisedRun.Options.DEFAULT.withClaims(false)), " ran 2 times");
    }
}
