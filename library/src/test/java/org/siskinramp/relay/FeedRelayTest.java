package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.siskinramp.route.Route;

/** A store whose calls are priced serves many hosts, of which readers die and are cut off. */
class FeedRelayTest {

    private static final int HOSTS = 20;

    /** The bound of the platform for a change to be in force. */
    private static final long BOUND = 2_000;

    private static final long SETTLED = 6_000;

    private static RelayWorld settled(int hosts) {
        RelayWorld world = new RelayWorld(hosts);
        world.time.advance(SETTLED);
        return world;
    }

    private static int callsIn(RelayWorld world, long milliseconds) {
        int before = world.calls;
        world.time.advance(milliseconds);
        return world.calls - before;
    }

    private static void assertAllKnow(RelayWorld world, String server, String setting) {
        for (RelayWorld.Host host : world.hosts.values()) {
            if (host.alive && world.reaches(host)) {
                assertTrue(host.draining.contains(server), host.name + " " + server);
                assertTrue(host.settings.contains(setting), host.name + " " + setting);
            }
        }
    }

    private static void assertChangesAreKnownWithin(long milliseconds, RelayWorld world) {
        world.write("servers/a");
        world.write("op/evacuate");
        world.time.advance(milliseconds);
        assertAllKnow(world, "servers/a", "op/evacuate");
    }

    @Test
    void twoHostsReadForAllOnesThatStartTogether() {
        RelayWorld world = settled(HOSTS);
        assertEquals(2, world.readers().size());
        int calls = callsIn(world, 20_000);
        assertTrue(calls <= 2 * 20 * 2.3, "calls " + calls);
    }

    /** A call that waits for a change keeps the table known until it ends. */
    @Test
    void readersThatNobodyAsksDoNotTakeAWaitingCallForALateOne() {
        RelayWorld world = settled(2);
        world.time.advance(8_000);
        int messages = world.messages;
        world.time.advance(20_000);
        assertEquals(0, world.messages - messages);
    }

    @Test
    void withoutOthersAHostReadsAtItsOwnPace() {
        RelayWorld world = settled(1);
        int calls = callsIn(world, 30_000);
        assertTrue(calls <= 30 * 1.4, "calls " + calls);
    }

    @Test
    void callsGrowWithTheReadersAndMessagesOfAHostStayTheSame() {
        for (int hosts : new int[] {24, 100, 300}) {
            RelayWorld world = settled(hosts);
            int messages = world.messages;
            int calls = callsIn(world, 10_000);
            int readers = hosts <= 24 ? 2 : hosts == 100 ? 6 : 12;
            assertEquals(readers, world.readers().size(), hosts + " hosts");
            assertTrue(calls <= readers * 10 * 2.4, hosts + " hosts: calls " + calls);
            double each = (world.messages - messages) / 10.0 / hosts;
            assertTrue(each <= 4, hosts + " hosts: messages " + each);
        }
    }

    @Test
    void allHostsCountEachOther() {
        RelayWorld world = settled(HOSTS);
        world.time.advance(12_000);
        world.hosts.values().forEach(host -> assertEquals(HOSTS, host.counted, host.name));
    }

    @Test
    void changesReachAllHostsSoonerThanTheBound() {
        RelayWorld world = settled(HOSTS);
        assertChangesAreKnownWithin(1_100, world);
    }

    @Test
    void operatorsChangesAreToldAtOnce() {
        RelayWorld world = settled(HOSTS);
        world.write("op/evacuate");
        world.time.advance(300);
        world.hosts
                .values()
                .forEach(host -> assertTrue(host.settings.contains("op/evacuate"), host.name));
    }

    @Test
    void aStormOfOperatorsChangesCostsNoCallsOfHostsThatAreTold() {
        RelayWorld world = settled(96);
        int calls = world.calls;
        for (int change = 0; change < 12; change++) {
            world.write("op/config");
            world.time.advance(330);
        }
        long version = world.write("op/config");
        world.time.advance(1_100);
        world.hosts.values().forEach(host -> assertEquals(version, host.routesVersion, host.name));
        assertTrue(world.calls - calls <= 3 * 30, "calls " + (world.calls - calls));
    }

    @Test
    void manyRoutesAreReadFromTheStoreByEachHost() {
        RelayWorld world = settled(30);
        List<Route> many = new ArrayList<>();
        for (int number = 0; number <= OperatorBook.ROUTES_TOLD_AT_MOST; number++) {
            many.add(Route.builder().name("r").host("h").prefix("/" + number + "/").build());
        }
        world.routes = many;
        long version = world.write("op/config");
        world.time.advance(1_100);
        world.hosts.values().forEach(host -> assertEquals(version, host.routesVersion, host.name));
    }

    /**
     * The first ones find a table that lacks the others, and would use their parts of the budgets.
     */
    @Test
    void hostsThatStartOneByOneNeverCountTooFewForLong() {
        RelayWorld world = new RelayWorld(HOSTS, RelayWorld.Start.NEW_ONE_BY_ONE);
        world.time.advance(13_000);
        world.hosts.values().forEach(host -> assertEquals(HOSTS, host.counted, host.name));
        world.hosts.values().forEach(host -> assertTrue(host.leastCounted > 1, host.name));
    }

    @Test
    void hostsThatStartForTheFirstTimeTogetherMakeTwoCallsEach() {
        RelayWorld world = settled(96);
        long version = world.write("op/config");
        world.time.advance(1_000);
        world.hosts.values().forEach(host -> assertEquals(version, host.routesVersion, host.name));
        assertTrue(world.calls <= 96 * 2 + 3 * 20, "calls " + world.calls);
    }

    @Test
    void hostsThatStartAgainTogetherReadAtOnceAndMakeFewCalls() {
        RelayWorld world = new RelayWorld(100, RelayWorld.Start.AGAIN);
        world.time.advance(20);
        world.hosts.values().forEach(host -> assertTrue(host.routesVersion > 0, host.name));
        world.time.advance(SETTLED);
        assertTrue(world.calls <= 100 * 5 + 3 * 20, "calls " + world.calls);
    }

    @Test
    void aHostThatStartsWhileTheStoreIsAwayLearnsFromASeed() {
        RelayWorld world = settled(HOSTS);
        world.seeds = List.of("host-3:1", "host-7:1");
        long version = world.write("op/config");
        world.write("op/evacuate");
        world.time.advance(BOUND);
        world.storeOut = true;
        RelayWorld.Host started = world.host("host-5");
        started.restart();
        world.time.advance(1_000);
        assertEquals(version, started.routesVersion);
        assertTrue(started.settings.contains("op/evacuate"));
    }

    /** The first seed does not answer; the next one is asked a second later. */
    @Test
    void aHostThatTheStoreTurnsAwayAtItsStartLearnsFromAnotherSeed() {
        RelayWorld world = settled(HOSTS);
        world.seeds = List.of("host-3:1", "host-7:1");
        world.host("host-3").alive = false;
        world.cutFromStore.add("host-5");
        RelayWorld.Host started = world.host("host-5");
        started.restart();
        world.time.advance(2_200);
        assertTrue(started.routesVersion > 0);
        world.cutFromStore.clear();
        assertChangesAreKnownWithin(BOUND + 1_000, world);
    }

    @Test
    void hostsWhoseReadersDieReadForThemselvesInTime() {
        RelayWorld world = settled(HOSTS);
        world.readers().forEach(reader -> reader.alive = false);
        assertChangesAreKnownWithin(BOUND, world);
    }

    @Test
    void hostsWhoseReaderCannotReachTheStoreReadForThemselvesInTime() {
        RelayWorld world = settled(HOSTS);
        world.readers().forEach(reader -> world.cutFromStore.add(reader.name));
        assertChangesAreKnownWithin(BOUND, world);
    }

    @Test
    void hostsAskAnotherReaderOnceTheirsIsSilent() {
        RelayWorld world = settled(HOSTS);
        RelayWorld.Host dead = world.readers().get(0);
        dead.alive = false;
        world.time.advance(10_000);
        int calls = callsIn(world, 5_000);
        assertTrue(calls <= 5 * 2.4, "calls " + calls);
    }

    @Test
    void changesOfAnOutageAreKnownSoonAfterIt() {
        RelayWorld world = settled(HOSTS);
        world.storeOut = true;
        world.time.advance(8_000);
        world.storeOut = false;
        assertChangesAreKnownWithin(BOUND + 1_000, world);
        world.time.advance(8_000);
        int calls = callsIn(world, 10_000);
        assertTrue(calls <= 2 * 10 * 2.4, "calls " + calls);
    }

    @Test
    void changesAreKnownInTimeUnderKillsCutsAndFreezes() {
        for (int seed = 0; seed < 60; seed++) {
            playTroubles(seed);
        }
    }

    /** Kills, cuts and restores hosts at random, and checks each change after the bound. */
    private static void playTroubles(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RelayWorld world = settled(3 + random.nextInt(30));
        List<RelayWorld.Host> hosts = new ArrayList<>(world.hosts.values());
        for (int round = 0; round < 15; round++) {
            RelayWorld.Host hit =
                    random.nextBoolean() && !world.readers().isEmpty()
                            ? world.readers().get(0)
                            : hosts.get(random.nextInt(hosts.size()));
            switch (random.nextInt(4)) {
                case 0 -> hit.alive = false;
                case 1 -> world.cutFromHosts.add(hit.name);
                case 2 -> world.cutFromStore.add(hit.name);
                default -> {
                    world.cutFromHosts.clear();
                    world.cutFromStore.clear();
                    // A host that was just cut off needs its next attempt before it is in touch.
                    world.time.advance(3_000);
                }
            }
            world.time.advance(random.nextInt(2_500));
            String server = "servers/" + seed + "-" + round;
            String setting = "op/" + seed + "-" + round;
            world.write(server);
            world.write(setting);
            world.time.advance(BOUND);
            assertAllKnow(world, server, setting);
        }
    }
}
