package org.siskinramp.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the safeguards whose absence random faults rarely reveal. */
final class SafeguardTest {

    private static final MembershipOptions SAFE = MembershipOptions.builder().build();

    private static SimulatedDeployment threeHosts(long seed, MembershipOptions options) {
        SimulatedDeployment deployment = new SimulatedDeployment(seed, options);
        List.of("entry-1", "entry-2", "entry-3").forEach(deployment::start);
        deployment.configureServices();
        deployment.runFor(20_000);
        return deployment;
    }

    /**
     * Restarts a member that suspects a host, at a time when the host can reach this member again
     * but no other. If the restarted member acknowledged the host at once, the host would regain
     * authority while its slots have already moved.
     */
    private static boolean isViolatedByRestart(MembershipOptions options) {
        boolean violated = false;
        for (int seed = 0; seed < 60; seed++) {
            SimulatedDeployment deployment = threeHosts(seed, options);
            cutBothWays(deployment, "entry-1", "entry-2");
            cutBothWays(deployment, "entry-1", "entry-3");
            deployment.runFor(3_800 + seed * 15L);
            deployment.heal();
            cutBothWays(deployment, "entry-1", "entry-2");
            deployment.cutLink("entry-3", "entry-2");
            deployment.kill("entry-3");
            deployment.start("entry-3");
            deployment.runFor(10_000);
            violated |= !deployment.violations().isEmpty();
        }
        return violated;
    }

    /**
     * Replaces the majority of a view, while the old majority cannot read the new view and still
     * acts on the old one. If a majority of the new view alone were enough for authority, hosts of
     * both views could use the same slots.
     */
    private static boolean isViolatedByReplacement(MembershipOptions options) {
        SimulatedDeployment deployment = threeHosts(1, options);
        for (String host : List.of("entry-2", "entry-3")) {
            deployment.cutFromStore(host);
            deployment.unlist(host);
        }
        List.of("entry-4", "entry-5", "entry-6", "entry-7").forEach(deployment::start);
        deployment.runFor(25_000);
        return !deployment.violations().isEmpty();
    }

    private static void cutBothWays(SimulatedDeployment deployment, String host, String other) {
        deployment.cutLink(host, other);
        deployment.cutLink(other, host);
    }

    @Test
    void aRestartedMemberDoesNotBreakPromisesOfItsEarlierIncarnation() {
        assertEquals(false, isViolatedByRestart(SAFE));
        MembershipOptions options =
                MembershipOptions.builder().without(Safeguard.START_SILENCE).build();
        assertEquals(true, isViolatedByRestart(options));
    }

    @Test
    void aReplacedMajorityHoldsNoAuthorityBesideItsSuccessors() {
        assertEquals(false, isViolatedByReplacement(SAFE));
        MembershipOptions options =
                MembershipOptions.builder().without(Safeguard.JOINT_MAJORITY).build();
        assertEquals(true, isViolatedByReplacement(options));
    }
}
