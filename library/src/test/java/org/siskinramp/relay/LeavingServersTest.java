package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Backend servers leave while the store rejects the calls of some hosts and serves the others. No
 * host may send requests to a leaving server after the drain limit.
 */
class LeavingServersTest {

    /** The platform's limit for hosts to stop sending requests to a leaving server. */
    private static final long DRAIN_LIMIT_MILLISECONDS = 2_000;

    private static final double REJECTED_HOSTS_FRACTION = 0.35;
    private static final long OUTAGE_MILLISECONDS = 9_000;
    private static final long LEAVE_INTERVAL_MILLISECONDS = 1_200;
    private static final int SERVERS = 20;

    private final List<String> violations = new ArrayList<>();
    private int nextServer;

    /** A larger deployment has more readers, so that fewer seeds cover rejected readers. */
    private static int seeds(int hosts) {
        return hosts > 50 ? 5 : 20;
    }

    private RelaySimulation settledSimulation(int hosts) {
        RelaySimulation simulation = new RelaySimulation(hosts);
        nextServer = 0;
        for (int server = 0; server < SERVERS; server++) {
            simulation.writeServing(serverKey(server));
        }
        simulation.time.advance(14_000);
        return simulation;
    }

    private static String serverKey(int number) {
        return "servers/" + number;
    }

    /** Drains or removes a server, and records after the limit which hosts still send to it. */
    private void leave(RelaySimulation simulation, String server, boolean drains) {
        long leftAt = simulation.time.monotonicMilliseconds();
        if (drains) {
            simulation.write(server);
        } else {
            simulation.remove(server);
        }
        simulation.time.schedule(
                DRAIN_LIMIT_MILLISECONDS,
                () -> {
                    for (RelaySimulation.Host host : simulation.hosts.values()) {
                        if (host.alive && !host.sendsNothingTo(server)) {
                            violations.add(host.name + " " + server + " which left at " + leftAt);
                        }
                    }
                });
    }

    private void leaveOneByOne(RelaySimulation simulation, long milliseconds, boolean drains) {
        long end = simulation.time.monotonicMilliseconds() + milliseconds;
        while (simulation.time.monotonicMilliseconds() < end) {
            leave(simulation, serverKey(nextServer++), drains);
            simulation.time.advance(LEAVE_INTERVAL_MILLISECONDS);
        }
    }

    private void assertNoViolations() {
        List<String> first = violations.subList(0, Math.min(3, violations.size()));
        assertEquals(List.of(), first, () -> violations.size() + " violations");
    }

    private static void rejectSomeHosts(RelaySimulation simulation, SplittableRandom random) {
        List<String> names = new ArrayList<>(simulation.hosts.keySet());
        long count = Math.round(REJECTED_HOSTS_FRACTION * names.size());
        for (int host = 0; host < count; host++) {
            simulation.rejectedByStore.add(names.remove(random.nextInt(names.size())));
        }
    }

    private static List<String> readers(RelaySimulation simulation) {
        return simulation.readers().stream().map(host -> host.name).toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void hostsRejectedByTheStoreAreUpdatedByOthers(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            RelaySimulation simulation = settledSimulation(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            simulation.time.advance(random.nextInt(1_500));
            rejectSomeHosts(simulation, random);
            leaveOneByOne(simulation, OUTAGE_MILLISECONDS, true);
            simulation.rejectedByStore.clear();
            leaveOneByOne(simulation, 5_000, true);
        }
        assertNoViolations();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void rejectedReadersAreUpdatedByHostsThatTheStoreServes(int hosts) {
        RelaySimulation simulation = settledSimulation(hosts);
        simulation.rejectedByStore.addAll(readers(simulation));
        leaveOneByOne(simulation, OUTAGE_MILLISECONDS, true);
        assertNoViolations();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void hostsWithoutAnAnswerOfTheStoreAreUpdatedByOthers(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            RelaySimulation simulation = settledSimulation(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            simulation.time.advance(random.nextInt(1_500));
            rejectSomeHosts(simulation, random);
            simulation.partitionedFromStore.addAll(simulation.rejectedByStore);
            simulation.rejectedByStore.clear();
            leaveOneByOne(simulation, OUTAGE_MILLISECONDS, true);
        }
        assertNoViolations();
    }

    /** The entry cannot have expired, since the backend servers can reach the store throughout. */
    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void removedServerHasNoGracePeriodWhileOtherHostsReadTheStore(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            RelaySimulation simulation = settledSimulation(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            simulation.time.advance(random.nextInt(1_500));
            rejectSomeHosts(simulation, random);
            leaveOneByOne(simulation, OUTAGE_MILLISECONDS, false);
        }
        assertNoViolations();
    }

    /** One failed read is too short a gap for an entry to expire. */
    @Test
    void removedServerHasNoGracePeriodAfterOneFailedRead() {
        RelaySimulation simulation = settledSimulation(16);
        simulation.rejectedByStore.addAll(simulation.hosts.keySet());
        simulation.time.advance(300);
        simulation.rejectedByStore.clear();
        leaveOneByOne(simulation, 4_000, false);
        assertNoViolations();
    }

    /** Entries expire in an outage, and live servers publish theirs again afterwards. */
    @Test
    void serverRemovedInAnOutageIsKeptForTheGracePeriod() {
        RelaySimulation simulation = settledSimulation(16);
        simulation.storeUnavailable = true;
        simulation.time.advance(OUTAGE_MILLISECONDS);
        simulation.remove(serverKey(0));
        simulation.storeUnavailable = false;
        simulation.time.advance(DRAIN_LIMIT_MILLISECONDS);
        for (RelaySimulation.Host host : simulation.hosts.values()) {
            assertFalse(host.sendsNothingTo(serverKey(0)), host.name);
        }
        simulation.time.advance(2_000);
        for (RelaySimulation.Host host : simulation.hosts.values()) {
            assertTrue(host.sendsNothingTo(serverKey(0)), host.name);
        }
    }

    /** Guards against hosts that relay each other's updates and take them for fresh forever. */
    @Test
    void updatesThatCirculateBetweenHostsKeepTheirAge() {
        RelaySimulation simulation = settledSimulation(6);
        simulation.messageDelayMilliseconds = 300;
        simulation.rejectedByStore.addAll(simulation.hosts.keySet());
        simulation.time.advance(OUTAGE_MILLISECONDS);
        for (RelaySimulation.Host host : simulation.hosts.values()) {
            long age = host.servers.ageMilliseconds();
            assertTrue(
                    age > OUTAGE_MILLISECONDS - DRAIN_LIMIT_MILLISECONDS,
                    host.name + " age " + age);
        }
    }

    @Test
    void hostsSendFewMessagesInACompleteOutage() {
        RelaySimulation simulation = settledSimulation(97);
        simulation.storeUnavailable = true;
        simulation.time.advance(2_000);
        int messages = simulation.messages;
        simulation.time.advance(10_000);
        double messagesPerHostAndSecond = (simulation.messages - messages) / 10.0 / 97;
        assertTrue(messagesPerHostAndSecond <= 4, "messages " + messagesPerHostAndSecond);
        simulation.storeUnavailable = false;
        simulation.time.advance(6_000);
        int calls = simulation.storeCalls;
        simulation.time.advance(10_000);
        assertTrue(
                simulation.storeCalls - calls <= 6 * 10 * 2.4,
                "calls " + (simulation.storeCalls - calls));
    }

    @Test
    void rejectedSubscribersMakeNoStoreCalls() {
        RelaySimulation simulation = settledSimulation(16);
        List<String> readers = readers(simulation);
        simulation.hosts.keySet().stream()
                .filter(host -> !readers.contains(host))
                .forEach(simulation.rejectedByStore::add);
        int calls = simulation.storeCalls;
        simulation.time.advance(10_000);
        assertTrue(
                simulation.storeCalls - calls <= 2 * 10 * 2.4,
                "calls " + (simulation.storeCalls - calls));
    }
}
