package org.siskinramp.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RandomisedRunTest {

    private static final long SEEDS = Long.getLong("siskinramp.seeds", 60);

    @Test
    void whatMustAlwaysHoldHoldsUnderRandomFaults() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RandomisedRun run = new RandomisedRun(seed, RandomisedRun.Options.DEFAULT);
            List<String> violations = run.execute();
            assertEquals(List.of(), violations, "seed " + seed);
        }
    }
}
