package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.siskinramp.route.Route;

/**
 * Simulates many hosts that share reads of a store, while hosts crash and are partitioned from the
 * store or from each other.
 */
class FeedRelayTest {

    private static final int HOSTS = 20;

    /** The platform's limit for a change to take effect on all hosts. */
    private static final long PROPAGATION_LIMIT_MILLISECONDS = 2_000;

    private static final long SETTLE_MILLISECONDS = 6_000;

    private static RelaySimulation settledSimulation(int hosts) {
        RelaySimulation simulation = new RelaySimulation(hosts);
        simulation.time.advance(SETTLE_MILLISECONDS);
        return simulation;
    }

    private static int countCalls(RelaySimulation simulation, long milliseconds) {
        int before = simulation.storeCalls;
        simulation.time.advance(milliseconds);
        return simulation.storeCalls - before;
    }

    private static void assertAllReceived(
            RelaySimulation simulation, String server, String setting) {
        for (RelaySimulation.Host host : simulation.hosts.values()) {
            if (host.alive && simulation.reachesStore(host)) {
                assertTrue(host.drainingServers.contains(server), host.name + " " + server);
                assertTrue(host.operatorSettings.contains(setting), host.name + " " + setting);
            }
        }
    }

    private static void assertChangesArriveWithin(long milliseconds, RelaySimulation simulation) {
        simulation.write("servers/a");
        simulation.write("op/evacuate");
        simulation.time.advance(milliseconds);
        assertAllReceived(simulation, "servers/a", "op/evacuate");
    }

    @Test
    void twoHostsReadForAllHostsThatStartTogether() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        assertEquals(2, simulation.readers().size());
        int calls = countCalls(simulation, 20_000);
        assertTrue(calls <= 2 * 20 * 2.3, "calls " + calls);
    }

    /** While a long poll waits, the table is current however old the last read is. */
    @Test
    void readersWithoutSubscribersDoNotTakeALongPollForAnOverdueRead() {
        RelaySimulation simulation = settledSimulation(2);
        simulation.time.advance(8_000);
        int messages = simulation.messages;
        simulation.time.advance(20_000);
        assertEquals(0, simulation.messages - messages);
    }

    @Test
    void singleHostReadsAtTheIntervalWithoutSubscribers() {
        RelaySimulation simulation = settledSimulation(1);
        int calls = countCalls(simulation, 30_000);
        assertTrue(calls <= 30 * 1.4, "calls " + calls);
    }

    @Test
    void callsGrowWithReadersWhileMessagesPerHostStayConstant() {
        for (int hosts : new int[] {24, 100, 300}) {
            RelaySimulation simulation = settledSimulation(hosts);
            int messages = simulation.messages;
            int calls = countCalls(simulation, 10_000);
            int readers = hosts <= 24 ? 2 : hosts == 100 ? 6 : 12;
            assertEquals(readers, simulation.readers().size(), hosts + " hosts");
            assertTrue(calls <= readers * 10 * 2.4, hosts + " hosts: calls " + calls);
            double messagesPerHostAndSecond = (simulation.messages - messages) / 10.0 / hosts;
            assertTrue(
                    messagesPerHostAndSecond <= 4,
                    hosts + " hosts: messages " + messagesPerHostAndSecond);
        }
    }

    @Test
    void allHostsCountEachOther() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.time.advance(12_000);
        simulation.hosts.values().forEach(host -> assertEquals(HOSTS, host.hostCount, host.name));
    }

    @Test
    void changesReachAllHostsWellWithinTheLimit() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        assertChangesArriveWithin(1_100, simulation);
    }

    @Test
    void operatorChangesAreSentAtOnce() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.write("op/evacuate");
        simulation.time.advance(300);
        simulation
                .hosts
                .values()
                .forEach(
                        host ->
                                assertTrue(
                                        host.operatorSettings.contains("op/evacuate"), host.name));
    }

    @Test
    void frequentOperatorChangesCauseNoCallsOfSubscribers() {
        RelaySimulation simulation = settledSimulation(96);
        int calls = simulation.storeCalls;
        for (int change = 0; change < 12; change++) {
            simulation.write("op/config");
            simulation.time.advance(330);
        }
        long version = simulation.write("op/config");
        simulation.time.advance(1_100);
        simulation
                .hosts
                .values()
                .forEach(host -> assertEquals(version, host.routesVersion, host.name));
        assertTrue(
                simulation.storeCalls - calls <= 3 * 30,
                "calls " + (simulation.storeCalls - calls));
    }

    @Test
    void manyRoutesAreReadFromTheStoreByEachHost() {
        RelaySimulation simulation = settledSimulation(30);
        List<Route> many = new ArrayList<>();
        for (int number = 0; number <= OperatorTableReplica.MAXIMUM_UNSOLICITED_ROUTES; number++) {
            many.add(Route.builder().name("r").host("h").prefix("/" + number + "/").build());
        }
        simulation.routes = many;
        long version = simulation.write("op/config");
        simulation.time.advance(1_100);
        simulation
                .hosts
                .values()
                .forEach(host -> assertEquals(version, host.routesVersion, host.name));
    }

    /**
     * The first hosts read a table that lacks the others. With too low a count each would use the
     * others' shares of the rate limits as well.
     */
    @Test
    void hostsThatStartOneByOneDoNotUndercountHosts() {
        RelaySimulation simulation =
                new RelaySimulation(HOSTS, RelaySimulation.Start.NEW_ONE_BY_ONE);
        simulation.time.advance(13_000);
        simulation.hosts.values().forEach(host -> assertEquals(HOSTS, host.hostCount, host.name));
        simulation
                .hosts
                .values()
                .forEach(host -> assertTrue(host.smallestHostCount > 1, host.name));
    }

    @Test
    void hostsThatStartTogetherForTheFirstTimeMakeTwoCallsEach() {
        RelaySimulation simulation = settledSimulation(96);
        long version = simulation.write("op/config");
        simulation.time.advance(1_000);
        simulation
                .hosts
                .values()
                .forEach(host -> assertEquals(version, host.routesVersion, host.name));
        assertTrue(simulation.storeCalls <= 96 * 2 + 3 * 20, "calls " + simulation.storeCalls);
    }

    @Test
    void hostsThatRestartTogetherReadAtOnceAndMakeFewCalls() {
        RelaySimulation simulation = new RelaySimulation(100, RelaySimulation.Start.AGAIN);
        simulation.time.advance(20);
        simulation.hosts.values().forEach(host -> assertTrue(host.routesVersion > 0, host.name));
        simulation.time.advance(SETTLE_MILLISECONDS);
        assertTrue(simulation.storeCalls <= 100 * 5 + 3 * 20, "calls " + simulation.storeCalls);
    }

    @Test
    void hostStartedWhileTheStoreIsUnavailableReceivesUpdatesFromASeed() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.seeds = List.of("host-3:1", "host-7:1");
        long version = simulation.write("op/config");
        simulation.write("op/evacuate");
        simulation.time.advance(PROPAGATION_LIMIT_MILLISECONDS);
        simulation.storeUnavailable = true;
        RelaySimulation.Host started = simulation.host("host-5");
        started.restart();
        simulation.time.advance(1_000);
        assertEquals(version, started.routesVersion);
        assertTrue(started.operatorSettings.contains("op/evacuate"));
    }

    /** The first seed does not answer; the host tries the next one a second later. */
    @Test
    void hostPartitionedFromTheStoreReceivesUpdatesFromTheNextSeed() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.seeds = List.of("host-3:1", "host-7:1");
        simulation.host("host-3").alive = false;
        simulation.partitionedFromStore.add("host-5");
        RelaySimulation.Host started = simulation.host("host-5");
        started.restart();
        simulation.time.advance(2_200);
        assertTrue(started.routesVersion > 0);
        simulation.partitionedFromStore.clear();
        assertChangesArriveWithin(PROPAGATION_LIMIT_MILLISECONDS + 1_000, simulation);
    }

    @Test
    void hostsReadForThemselvesWhenTheirReadersStop() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.readers().forEach(reader -> reader.alive = false);
        assertChangesArriveWithin(PROPAGATION_LIMIT_MILLISECONDS, simulation);
    }

    @Test
    void hostsReadForThemselvesWhenTheirReadersCannotReachTheStore() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.readers().forEach(reader -> simulation.partitionedFromStore.add(reader.name));
        assertChangesArriveWithin(PROPAGATION_LIMIT_MILLISECONDS, simulation);
    }

    @Test
    void hostsSubscribeToAnotherReaderWhenTheirsStops() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        RelaySimulation.Host stoppedReader = simulation.readers().get(0);
        stoppedReader.alive = false;
        simulation.time.advance(10_000);
        int calls = countCalls(simulation, 5_000);
        assertTrue(calls <= 5 * 2.4, "calls " + calls);
    }

    @Test
    void changesDuringAnOutageArriveSoonAfterIt() {
        RelaySimulation simulation = settledSimulation(HOSTS);
        simulation.storeUnavailable = true;
        simulation.time.advance(8_000);
        simulation.storeUnavailable = false;
        assertChangesArriveWithin(PROPAGATION_LIMIT_MILLISECONDS + 1_000, simulation);
        simulation.time.advance(8_000);
        int calls = countCalls(simulation, 10_000);
        assertTrue(calls <= 2 * 10 * 2.4, "calls " + calls);
    }

    @Test
    void changesArriveInTimeUnderCrashesAndPartitions() {
        for (int seed = 0; seed < 60; seed++) {
            injectRandomFaults(seed);
        }
    }

    /** Stops, partitions and reconnects hosts at random, and checks each change after the limit. */
    private static void injectRandomFaults(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RelaySimulation simulation = settledSimulation(3 + random.nextInt(30));
        List<RelaySimulation.Host> hosts = new ArrayList<>(simulation.hosts.values());
        for (int round = 0; round < 15; round++) {
            RelaySimulation.Host affected =
                    random.nextBoolean() && !simulation.readers().isEmpty()
                            ? simulation.readers().get(0)
                            : hosts.get(random.nextInt(hosts.size()));
            switch (random.nextInt(4)) {
                case 0 -> affected.alive = false;
                case 1 -> simulation.partitionedFromHosts.add(affected.name);
                case 2 -> simulation.partitionedFromStore.add(affected.name);
                default -> {
                    simulation.partitionedFromHosts.clear();
                    simulation.partitionedFromStore.clear();
                    // A host that was partitioned reconnects with its next attempt only.
                    simulation.time.advance(3_000);
                }
            }
            simulation.time.advance(random.nextInt(2_500));
            String server = "servers/" + seed + "-" + round;
            String setting = "op/" + seed + "-" + round;
            simulation.write(server);
            simulation.write(setting);
            simulation.time.advance(PROPAGATION_LIMIT_MILLISECONDS);
            assertAllReceived(simulation, server, setting);
        }
    }
}
