package org.siskinramp.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

final class MembershipTest {

    private final Deployment deployment = new Deployment(1, MembershipOptions.builder().build());

    private void startThree() {
        List.of("entry-1", "entry-2", "entry-3").forEach(deployment::start);
    }

    @Test
    void hostsOfAnEmptyDeploymentGainAuthorityAfterTwoLeaseTerms() {
        startThree();
        deployment.runFor(5_500);
        assertTrue(deployment.host("entry-1").membership().hasAuthority());
        assertTrue(deployment.host("entry-2").membership().hasAuthority());
        assertTrue(deployment.host("entry-3").membership().hasAuthority());
    }

    @Test
    void slotsOfTheFirstTicketAreHeldWithinTwoSeconds() {
        startThree();
        deployment.runFor(20_000);
        deployment.configure();
        deployment.runFor(2_000);
        assertEquals(List.of(), deployment.unusedSlots());
        assertEquals(12, deployment.host("entry-1").membership().holdings().slots().size());
    }

    @Test
    void successorsTakeOverTheSlotsOfAKilledHost() {
        startThree();
        deployment.configure();
        deployment.runFor(20_000);
        deployment.kill("entry-2");
        deployment.runFor(2_000);
        assertEquals(12, deployment.unusedSlots().size());
        deployment.runFor(10_000);
        assertEquals(List.of(), deployment.unusedSlots());
    }

    @Test
    void aHostThatIsCutOffLosesAuthorityWithinALeaseTerm() {
        startThree();
        deployment.runFor(20_000);
        deployment.cut("entry-2", "entry-1");
        deployment.cut("entry-2", "entry-3");
        deployment.runFor(2_000);
        assertEquals(false, deployment.host("entry-2").membership().hasAuthority());
        assertTrue(deployment.host("entry-1").membership().hasAuthority());
    }

    @Test
    void aStoppingHostHandsItsSlotsOverFasterThanASilentOne() {
        startThree();
        deployment.configure();
        deployment.runFor(20_000);
        deployment.host("entry-2").membership().stop();
        deployment.runFor(9_000);
        assertEquals(List.of(), deployment.unusedSlots());
        assertEquals(List.of(), deployment.violations());
    }
}
