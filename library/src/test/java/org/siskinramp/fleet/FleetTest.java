package org.siskinramp.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;

class FleetTest {

    private final Fleet fleet = new Fleet();

    @Test
    void ignoresAnEntryOfAnEarlierServerProcess() {
        fleet.put(entry("a", false, 200, 1), 0);
        assertFalse(fleet.put(entry("a", true, 100, 9), 0));
        assertEquals(1, fleet.usable("s", 0).size());
    }

    @Test
    void ignoresALowerSequenceNumberOfTheSameServerProcess() {
        fleet.put(entry("a", true, 100, 5), 0);
        fleet.put(entry("a", false, 100, 4), 0);
        assertTrue(fleet.usable("s", 0).isEmpty());
    }

    @Test
    void acceptsTheEntryOfARestartedServerWithALowerSequenceNumber() {
        fleet.put(entry("a", true, 100, 50), 0);
        fleet.put(entry("a", false, 101, 1), 0);
        assertEquals(1, fleet.usable("s", 0).size());
    }

    @Test
    void aDrainingServerGetsNoRequests() {
        fleet.put(entry("a", false, 1, 1), 0);
        fleet.put(entry("a", true, 1, 2), 0);
        assertTrue(fleet.usable("s", 0).isEmpty());
    }

    @Test
    void aServerWhoseEntryWasRemovedIsUsableUntilItsGracePeriodEnds() {
        fleet.put(entry("a", false, 1, 1), 0);
        fleet.remove("a", 2_300);
        assertEquals(1, fleet.usable("s", 2_299).size());
        assertTrue(fleet.usable("s", 2_300).isEmpty());
    }

    @Test
    void aServerThatPublishesItsEntryAgainDoesNotExpire() {
        fleet.put(entry("a", false, 1, 1), 0);
        fleet.remove("a", 2_300);
        fleet.put(entry("a", false, 1, 2), 1_000);
        assertEquals(1, fleet.usable("s", 9_999).size());
    }

    @Test
    void anEvacuatedZoneGetsNoRequestsUntilTheEvacuationEnds() {
        fleet.put(entry("a", false, 1, 1), 0);
        fleet.setEvacuatedZones(Set.of("zone-1"));
        assertTrue(fleet.usable("s", 0).isEmpty());
        fleet.setEvacuatedZones(Set.of());
        assertEquals(1, fleet.usable("s", 0).size());
    }

    /** Requests to the target of an order must wait for a stage that allows them. */
    @Test
    void aServerThatTheGateKeepsBackGetsNoRequests() {
        Fleet gated = new Fleet(entry -> !entry.softwareVersion().equals("v2"));
        ServerEntry held = entry("a", false, 1, 1);
        gated.put(new ServerEntry(held.server(), false, 0, 1, 1, "v2"), 0);
        assertFalse(gated.hasUsable("s", 0));
        gated.put(entry("b", false, 1, 1), 0);
        assertEquals(1, gated.usable("s", 0).size());
        assertTrue(gated.put(new ServerEntry(held.server(), false, 0, 1, 2, "v1"), 0));
        assertEquals(2, gated.usable("s", 0).size());
    }

    @Test
    void estimatesTheLoadFromTheLastLoadReportAndTheRequestsSentSince() {
        fleet.put(entry("a", false, 1, 1), 0);
        KnownServer server = fleet.find("a").orElseThrow();
        server.recordLoadReport(new LoadReport("", 2, false, 0, 100, 0), 10);
        server.beginRequest();
        assertEquals(3, server.estimatedRequestsInProgress());
        server.endRequest(11);
        assertEquals(2, server.estimatedRequestsInProgress());
    }

    @Test
    void aServerIsColdForTheReportedWarmUpTime() {
        fleet.put(entry("a", false, 1, 1), 0);
        KnownServer server = fleet.find("a").orElseThrow();
        server.recordLoadReport(new LoadReport("", 0, false, 0, 100, 3_000), 100);
        assertTrue(server.isCold(3_099));
        assertFalse(server.isCold(3_100));
    }

    @Test
    void theFailureRateDecaysWithoutRequests() {
        fleet.put(entry("a", false, 1, 1), 0);
        KnownServer server = fleet.find("a").orElseThrow();
        server.recordFailure(0);
        server.recordFailure(0);
        assertTrue(server.isDeprioritised(0));
        assertFalse(server.isDeprioritised(1_500));
    }

    private static ServerEntry entry(
            String name, boolean leaving, long startedMilliseconds, long sequence) {
        BackendServer server =
                new BackendServer(
                        name,
                        "s",
                        "10.0.0.1",
                        "zone-1",
                        "10.0.0.1:80",
                        4,
                        1,
                        AdministrativeState.IN);
        return new ServerEntry(server, leaving, 0, startedMilliseconds, sequence);
    }
}
