package org.siskinramp.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Aims at rules that random faults rarely need. */
final class SafeguardTest {

    private static final MembershipOptions SAFE = MembershipOptions.builder().build();

    private static Deployment threeHosts(long seed, MembershipOptions options) {
        Deployment deployment = new Deployment(seed, options);
        List.of("entry-1", "entry-2", "entry-3").forEach(deployment::start);
        deployment.configure();
        deployment.runFor(20_000);
        return deployment;
    }

    /** Restarts a member that suspects a host, while that host comes back to it alone. */
    private static boolean isViolatedByRestart(MembershipOptions options) {
        boolean violated = false;
        for (int seed = 0; seed < 60; seed++) {
            Deployment deployment = threeHosts(seed, options);
            cutBothWays(deployment, "entry-1", "entry-2");
            cutBothWays(deployment, "entry-1", "entry-3");
            deployment.runFor(3_800 + seed * 15L);
            deployment.heal();
            cutBothWays(deployment, "entry-1", "entry-2");
            deployment.cut("entry-3", "entry-2");
            deployment.kill("entry-3");
            deployment.start("entry-3");
            deployment.runFor(10_000);
            violated |= !deployment.violations().isEmpty();
        }
        return violated;
    }

    /** Replaces the majority of a view, and keeps the old majority from learning it. */
    private static boolean isViolatedByReplacement(MembershipOptions options) {
        Deployment deployment = threeHosts(1, options);
        for (String host : List.of("entry-2", "entry-3")) {
            deployment.cutFromStore(host);
            deployment.unlist(host);
        }
        List.of("entry-4", "entry-5", "entry-6", "entry-7").forEach(deployment::start);
        deployment.runFor(25_000);
        return !deployment.violations().isEmpty();
    }

    private static void cutBothWays(Deployment deployment, String host, String other) {
        deployment.cut(host, other);
        deployment.cut(other, host);
    }

    @Test
    void aRestartedMemberKeepsThePromisesThatItHasForgotten() {
        assertEquals(false, isViolatedByRestart(SAFE));
        MembershipOptions options =
                MembershipOptions.builder().without(Safeguard.START_SILENCE).build();
        assertEquals(true, isViolatedByRestart(options));
    }

    @Test
    void aReplacedMajorityDoesNotActNextToItsSuccessors() {
        assertEquals(false, isViolatedByReplacement(SAFE));
        MembershipOptions options =
                MembershipOptions.builder().without(Safeguard.JOINT_MAJORITY).build();
        assertEquals(true, isViolatedByReplacement(options));
    }
}
