package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.rollout.RolloutStage;

/** Hosts that carry out an order while hosts or the store fail: an order must end in time. */
class RolloutRelayTest {

    private static final long DURATION_MILLISECONDS = 12_000;
    private static final long SPREAD_MILLISECONDS = 1_500;

    private final RolloutSimulation simulation = new RolloutSimulation(20);

    private List<RolloutSimulation.Host> hosts() {
        return simulation.hosts.stream().filter(host -> host.isAlive).toList();
    }

    private void assertHeldEverywhere() {
        hosts().forEach(host -> assertTrue(host.holds("v2"), host.name));
    }

    @Test
    void noStoreCallAndNoMessageIsMadeWithoutOrders() {
        simulation.time.advance(60_000);
        assertEquals(0, simulation.storeCalls);
        assertEquals(0, simulation.messages);
    }

    @Test
    void allHostsHoldTheTargetFromTheOrderOn() {
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.time.advance(SPREAD_MILLISECONDS);
        assertHeldEverywhere();
        hosts().forEach(host -> assertFalse(host.holds("v1")));
        assertEquals("running v2", simulation.status());
    }

    /** A read and a write for each of two stages; a second writer would double them. */
    @Test
    void oneHostRecordsTheStages() {
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.time.advance(DURATION_MILLISECONDS);
        assertEquals("rolled_back v2", simulation.status());
        assertEquals(4, simulation.storeCalls);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 100, 300, 1_000, 5_000, 9_900, 10_050})
    void anOrderEndsInTimeWhenReadersDie(int killedAtMilliseconds) {
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.time.advance(killedAtMilliseconds);
        simulation.hosts.get(0).kill();
        simulation.hosts.get(1).kill();
        simulation.time.advance(DURATION_MILLISECONDS - killedAtMilliseconds);
        assertEquals("rolled_back v2", simulation.status());
        assertHeldEverywhere();
    }

    @Test
    void anotherHostRecordsTheStagesIfNoReaderReachesTheStore() {
        IntStream.range(0, RolloutSimulation.READERS)
                .forEach(reader -> simulation.hosts.get(reader).reachesStore = false);
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.time.advance(SPREAD_MILLISECONDS * 2);
        assertEquals("running v2", simulation.status());
        simulation.time.advance(DURATION_MILLISECONDS - SPREAD_MILLISECONDS * 2);
        assertEquals("rolled_back v2", simulation.status());
    }

    @Test
    void theTargetIsHeldAndTheStageWrittenLaterIfTheStoreIsAway() {
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.time.advance(SPREAD_MILLISECONDS);
        simulation.isStoreAvailable = false;
        simulation.time.advance(DURATION_MILLISECONDS);
        assertHeldEverywhere();
        assertEquals("running v2", simulation.status());
        simulation.isStoreAvailable = true;
        simulation.time.advance(10_000);
        assertEquals("rolled_back v2", simulation.status());
    }

    @Test
    void aRestartOfAllHostsRollsTheOrderBack() {
        simulation.order("v2", 600_000);
        simulation.time.advance(SPREAD_MILLISECONDS);
        simulation.hosts.forEach(RolloutSimulation.Host::restart);
        simulation.readSnapshots();
        simulation.time.advance(SPREAD_MILLISECONDS * 3);
        assertEquals("rolled_back v2", simulation.status());
        assertHeldEverywhere();
    }

    @Test
    void aRestartedHostLearnsTheAgeOfTheOrder() {
        simulation.order("v2", 600_000);
        simulation.time.advance(SPREAD_MILLISECONDS);
        simulation.hosts.get(0).restart();
        simulation.readSnapshots();
        simulation.time.advance(SPREAD_MILLISECONDS * 3);
        assertEquals("running v2", simulation.status());
    }

    @Test
    void aRestoredStoreDoesNotReviveAnOrderThatWasRolledBack() {
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.time.advance(SPREAD_MILLISECONDS);
        simulation.saveCopy();
        simulation.time.advance(DURATION_MILLISECONDS);
        simulation.restoreCopy();
        assertEquals("running v2", simulation.status());
        simulation.readSnapshots();
        simulation.time.advance(SPREAD_MILLISECONDS);
        assertEquals("rolled_back v2", simulation.status());
        hosts().forEach(
                        host ->
                                assertEquals(
                                        RolloutStage.ROLLED_BACK,
                                        host.table.reports().get(0).stage()));
    }

    /** The servers of a target that was rolled back drain some seconds later. */
    @Test
    void theTargetIsHeldForAWhileAfterTheOrderWasRemoved() {
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.time.advance(DURATION_MILLISECONDS);
        simulation.removeOrder();
        simulation.time.advance(29_000);
        assertHeldEverywhere();
        simulation.time.advance(5_000);
        hosts().forEach(host -> assertFalse(host.holds("v2")));
    }

    @Test
    void aDelayedMessageDoesNotRestoreARemovedOrder() {
        simulation.order("v2", DURATION_MILLISECONDS);
        var reports = simulation.hosts.get(0).table.reports();
        simulation.removeOrder();
        simulation.time.advance(60_000);
        hosts().forEach(host -> host.table.merge(reports));
        hosts().forEach(host -> assertFalse(host.holds("v2")));
    }

    @Test
    void aReplacedOrderStillHoldsItsTarget() {
        simulation.order("v2", DURATION_MILLISECONDS);
        var reports = simulation.hosts.get(0).table.reports();
        simulation.order("v3", DURATION_MILLISECONDS);
        hosts().forEach(host -> host.table.merge(reports));
        simulation.time.advance(SPREAD_MILLISECONDS);
        assertHeldEverywhere();
        hosts().forEach(host -> assertTrue(host.holds("v3")));
        assertEquals("running v3", simulation.status());
    }

    /** A host that starts must not send requests to servers of a target that it does not know. */
    @Test
    void ordersPrecedeTheEntriesOfServers() {
        List<PeerMessage> sent = new ArrayList<>();
        PeerSender sender =
                simulation.hosts.get(0).relay.withOrdersFirst((host, message) -> sent.add(message));
        ServerEntry entry = RolloutSimulation.entry("v2");
        FeedNews update =
                new FeedNews(0, 1, true, 0, false, List.of(entry), List.of(), 0, 0, 1, 0, 20, 0);
        simulation.order("v2", DURATION_MILLISECONDS);
        simulation.messages = 0;
        sender.send("host-9", update);
        assertEquals(List.of(update), sent);
        assertEquals(1, simulation.messages);
    }

    /** Four messages a second to each of 19 hosts would be needed if each host told all others. */
    @Test
    void messagesGrowLinearlyWithTheNumberOfHosts() {
        simulation.order("v2", 600_000);
        simulation.time.advance(10_000);
        assertTrue(simulation.messages < 20 * 10 * 2, "messages: " + simulation.messages);
    }
}
