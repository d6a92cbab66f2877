package org.siskinramp.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.Counter;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.time.VirtualTime;

final class MembershipTest {

    private final SimulatedDeployment deployment =
            new SimulatedDeployment(1, MembershipOptions.builder().build());

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
        deployment.configureServices();
        deployment.runFor(2_000);
        assertEquals(List.of(), deployment.unusedSlots());
        assertEquals(12, deployment.host("entry-1").membership().holdings().slots().size());
    }

    @Test
    void successorsTakeOverTheSlotsOfAKilledHost() {
        startThree();
        deployment.configureServices();
        deployment.runFor(20_000);
        deployment.kill("entry-2");
        deployment.runFor(2_000);
        assertEquals(12, deployment.unusedSlots().size());
        deployment.runFor(10_000);
        assertEquals(List.of(), deployment.unusedSlots());
    }

    @Test
    void aPartitionedHostLosesAuthorityWithinALeaseTerm() {
        startThree();
        deployment.runFor(20_000);
        deployment.cutLink("entry-2", "entry-1");
        deployment.cutLink("entry-2", "entry-3");
        deployment.runFor(2_000);
        assertEquals(false, deployment.host("entry-2").membership().hasAuthority());
        assertTrue(deployment.host("entry-1").membership().hasAuthority());
    }

    @Test
    void aHostThatCannotReadAConfigurationLosesAuthorityWithinTheGracePeriodAndALeaseTerm() {
        startThree();
        deployment.runFor(20_000);
        deployment.cutFromStore("entry-2");
        deployment.configureServices();
        while (!hasApplied("entry-1") || !hasApplied("entry-3")) {
            deployment.runFor(1);
        }
        assertTrue(deployment.host("entry-2").membership().hasAuthority());
        deployment.runFor(500 + 2_000 + 5);
        assertEquals(false, deployment.host("entry-2").membership().hasAuthority());
        deployment.heal();
        deployment.runFor(5_000);
        assertTrue(deployment.host("entry-2").membership().hasAuthority());
    }

    private boolean hasApplied(String host) {
        return deployment.host(host).membership().holdings().configurationVersion() == 1;
    }

    @Test
    void aHeartbeatWithLowerVersionsIsCountedAndIgnored() {
        List<Counter> counted = new ArrayList<>();
        VirtualTime time = new VirtualTime();
        Membership membership =
                Membership.builder("entry-1", "1/a")
                        .clock(time)
                        .scheduler(time)
                        .sender((peer, message) -> {})
                        .counters((counter, amount) -> counted.add(counter))
                        .build();
        MembershipView none = MembershipView.NONE;
        membership.applyView(none.next(List.of(member("entry-1"), member("entry-2"))));
        membership.receive("entry-2", heartbeat(10, 5));
        assertEquals(List.of(), counted);
        membership.receive("entry-2", heartbeat(20, 4));
        assertEquals(List.of(Counter.INVARIANT_VIOLATIONS), counted);
        assertEquals(5, membership.peerVersions().get(0).configurationVersion());
    }

    private static Member member(String host) {
        return new Member(host, "zone-1", "127.0.0.1:1");
    }

    private static Heartbeat heartbeat(long sentMilliseconds, long configurationVersion) {
        return new Heartbeat(
                "2/a",
                sentMilliseconds,
                1,
                configurationVersion,
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of());
    }

    @Test
    void theOtherAvailabilityZonesTakeOverTheSlotsOfAFailedOne() {
        for (int host = 0; host < 6; host++) {
            deployment.start("entry-" + host);
        }
        deployment.configureServices();
        deployment.runFor(20_000);
        deployment.kill("entry-1");
        deployment.kill("entry-4");
        deployment.runFor(13_000);
        assertEquals(List.of(), deployment.unusedSlots());
        deployment.start("entry-1");
        deployment.start("entry-4");
        deployment.runFor(30_000);
        assertEquals(List.of(), deployment.unusedSlots());
        assertEquals(6, deployment.host("entry-1").membership().holdings().slots().size());
        assertEquals(List.of(), deployment.violations());
    }

    @Test
    void allMembersAreReplacedOneByOne() {
        startThree();
        deployment.configureServices();
        deployment.runFor(20_000);
        for (int host = 1; host <= 3; host++) {
            deployment.start("entry-" + (host + 3));
            deployment.runFor(15_000);
            deployment.host("entry-" + host).membership().stop();
            deployment.runFor(9_000);
            deployment.kill("entry-" + host);
            deployment.unlist("entry-" + host);
            deployment.runFor(15_000);
            assertEquals(List.of(), deployment.unusedSlots());
        }
        assertEquals(
                Set.of("entry-4", "entry-5", "entry-6"),
                deployment.host("entry-4").membership().view().names());
        assertEquals(List.of(), deployment.violations());
    }

    @Test
    void slotsThatBecomeIdleTogetherAreReleasedInOneMessageForEachPeer() {
        ReleaseBatch batch = new ReleaseBatch();
        batch.add(new SlotKey("portal-1", 0), "entry-2", new Acknowledgement("2/a", 10));
        batch.add(new SlotKey("portal-1", 1), "entry-3", new Acknowledgement("3/a", 20));
        batch.add(new SlotKey("portal-2", 0), "entry-2", new Acknowledgement("2/a", 10));
        List<String> sent = new ArrayList<>();
        batch.drain(
                "1/a",
                SlotHoldings.NONE,
                (peer, release) -> sent.add(peer + " " + release.slots().size()));
        assertEquals(List.of("entry-2 2", "entry-3 1"), sent);
        assertTrue(batch.isEmpty());
    }

    @Test
    void aStoppingHostHandsItsSlotsOverFasterThanASilentOne() {
        startThree();
        deployment.configureServices();
        deployment.runFor(20_000);
        deployment.host("entry-2").membership().stop();
        deployment.runFor(9_000);
        assertEquals(List.of(), deployment.unusedSlots());
        assertEquals(List.of(), deployment.violations());
    }
}
