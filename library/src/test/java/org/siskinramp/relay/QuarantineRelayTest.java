package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Three hosts each report a crash of a backend server by the same request; all must refuse it. */
class QuarantineRelayTest {

    private static final String FATAL_CONTENT = "fatal";
    private static final int HOSTS = 17;
    private static final long SETTLE_MILLISECONDS = 6_000;

    /** The operators' limit for all hosts to refuse the request. */
    private static final long REFUSAL_LIMIT_MILLISECONDS = 3_000;

    private static RelaySimulation settledSimulation(int hosts) {
        RelaySimulation simulation = new RelaySimulation(hosts);
        simulation.time.advance(SETTLE_MILLISECONDS);
        return simulation;
    }

    private static void reportThreeCrashes(RelaySimulation simulation) {
        List<RelaySimulation.Host> hosts = List.copyOf(simulation.hosts.values());
        for (int crash = 0; crash < 3; crash++) {
            hosts.get(crash * 5).reportCrash(FATAL_CONTENT, "server-" + crash);
        }
    }

    private static long countRefusingHosts(RelaySimulation simulation) {
        return simulation.hosts.values().stream()
                .filter(host -> host.alive && host.quarantine.refuses(FATAL_CONTENT))
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {17, 110, 300})
    void allHostsRefuseTheRequestInTime(int hosts) {
        RelaySimulation simulation = settledSimulation(hosts);
        reportThreeCrashes(simulation);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(hosts, countRefusingHosts(simulation));
    }

    /**
     * Expects three reports to each reader, and to each subscriber an update at once and a snapshot
     * every 2 s. If each host reported to all others, the messages would grow with the square of
     * the number of hosts.
     */
    @ParameterizedTest
    @ValueSource(ints = {17, 110, 300})
    void messagesGrowLinearlyWithTheNumberOfHosts(int hosts) {
        RelaySimulation baseline = settledSimulation(hosts);
        RelaySimulation simulation = settledSimulation(hosts);
        reportThreeCrashes(simulation);
        baseline.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        int readers = simulation.readers().size();
        int additionalMessages = simulation.messages - baseline.messages;
        assertTrue(
                additionalMessages <= 3 * readers + 4 * hosts,
                "additional messages: " + additionalMessages);
        assertTrue(
                simulation.storeCalls - baseline.storeCalls <= 3 + 3 * readers,
                "calls " + simulation.storeCalls);
    }

    @Test
    void requestIsNotRefusedAfterTwoCrashes() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.host("host-1").reportCrash(FATAL_CONTENT, "server-1");
        simulation.host("host-2").reportCrash(FATAL_CONTENT, "server-2");
        simulation.host("host-3").reportCrash(FATAL_CONTENT, "server-2");
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(0, countRefusingHosts(simulation));
    }

    @Test
    void allHostsRefuseTheRequestWhileTheStoreIsUnavailable() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.storeUnavailable = true;
        simulation.time.advance(1_000);
        reportThreeCrashes(simulation);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(HOSTS, countRefusingHosts(simulation));
        simulation.time.advance(30_000);
        assertEquals(HOSTS, countRefusingHosts(simulation));
    }

    @Test
    void hostPartitionedFromTheOthersReadsTheCrashesFromTheStore() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.partitionedFromHosts.add("host-7");
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        reportThreeCrashes(simulation);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertTrue(simulation.host("host-7").quarantine.refuses(FATAL_CONTENT));
    }

    @Test
    void readersWriteTheCrashesOfAHostThatCannotReachTheStore() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.partitionedFromStore.add("host-0");
        reportThreeCrashes(simulation);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(HOSTS, countRefusingHosts(simulation));
        simulation.hosts.values().forEach(RelaySimulation.Host::restart);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(HOSTS - 1, countRefusingHosts(simulation));
    }

    @Test
    void allHostsRefuseTheRequestAfterARestartOfAll() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        reportThreeCrashes(simulation);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        simulation.hosts.values().forEach(RelaySimulation.Host::restart);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(HOSTS, countRefusingHosts(simulation));
    }

    @Test
    void hostsRefuseTheRequestThoughTheReadersStop() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        List<RelaySimulation.Host> readers = simulation.readers();
        reportThreeCrashes(simulation);
        readers.forEach(reader -> reader.alive = false);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(
                simulation.hosts.values().stream().filter(host -> host.alive).count(),
                countRefusingHosts(simulation));
    }

    @Test
    void completedRequestIsReleasedOnAllHosts() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        reportThreeCrashes(simulation);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        simulation.host("host-8").quarantineRelay.clearRequest(FATAL_CONTENT);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(0, countRefusingHosts(simulation));
        simulation.hosts.values().forEach(RelaySimulation.Host::restart);
        simulation.time.advance(REFUSAL_LIMIT_MILLISECONDS);
        assertEquals(0, countRefusingHosts(simulation));
    }

    @Test
    void removedRowsReleaseTheRequest() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        reportThreeCrashes(simulation);
        simulation.time.advance(20_000);
        simulation.removeCrashRows(FATAL_CONTENT);
        simulation.time.advance(20_000);
        assertEquals(0, countRefusingHosts(simulation));
    }
}
