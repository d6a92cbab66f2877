package org.siskinramp.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class RandomisedFaultsTest {

    private static final int SEEDS = Integer.getInteger("siskinramp.seeds", 150);
    private static final int SEEDS_WITHOUT_SAFEGUARD = 100;

    @Test
    void noSlotIsEverUsedByTwoHostsAndAllAreUsedAfterRecovery() {
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedDeployment deployment =
                    new RandomFaultInjector(seed, MembershipOptions.builder().build()).run();
            assertEquals(List.of(), deployment.violations(), "seed " + seed);
            assertEquals(List.of(), deployment.unusedSlots(), "seed " + seed);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Safeguard.class,
            names = {"SEPARATE_PROMISES", "TIME_LIMIT_WAIT", "ALIGNMENT"})
    void aDisabledSafeguardLeadsToADetectedViolation(Safeguard safeguard) {
        MembershipOptions options = MembershipOptions.builder().without(safeguard).build();
        assertTrue(
                LongStream.range(0, SEEDS_WITHOUT_SAFEGUARD)
                        .anyMatch(
                                seed ->
                                        !new RandomFaultInjector(seed, options)
                                                .run()
                                                .violations()
                                                .isEmpty()));
    }
}
