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
 * Servers leave while the store turns some hosts away and serves the others: no host may go on
 * sending to them.
 */
class LeavingServersTest {

    /** The bound of the platform for a host to send a leaving server nothing more. */
    private static final long BOUND = 2_000;

    private static final double TURNED_AWAY = 0.35;
    private static final long OUTAGE = 9_000;
    private static final long LEAVE_GAP = 1_200;
    private static final int SERVERS = 20;

    private final List<String> late = new ArrayList<>();
    private int next;

    /** More hosts turn more readers away in one seed. */
    private static int seeds(int hosts) {
        return hosts > 50 ? 5 : 20;
    }

    private RelayWorld settled(int hosts) {
        RelayWorld world = new RelayWorld(hosts);
        next = 0;
        for (int server = 0; server < SERVERS; server++) {
            world.serve(server(server));
        }
        world.time.advance(14_000);
        return world;
    }

    private static String server(int number) {
        return "servers/" + number;
    }

    /** Lets a server drain, or just go, and checks after the bound who still sends to it. */
    private void leave(RelayWorld world, String server, boolean drains) {
        long left = world.time.monotonicMilliseconds();
        if (drains) {
            world.write(server);
        } else {
            world.remove(server);
        }
        world.time.schedule(
                BOUND,
                () -> {
                    for (RelayWorld.Host host : world.hosts.values()) {
                        if (host.alive && !host.sendsNothingTo(server)) {
                            late.add(host.name + " " + server + " which left at " + left);
                        }
                    }
                });
    }

    private void leaveOneByOne(RelayWorld world, long milliseconds, boolean drains) {
        long end = world.time.monotonicMilliseconds() + milliseconds;
        while (world.time.monotonicMilliseconds() < end) {
            leave(world, server(next++), drains);
            world.time.advance(LEAVE_GAP);
        }
    }

    private void assertNoneLate() {
        List<String> first = late.subList(0, Math.min(3, late.size()));
        assertEquals(List.of(), first, () -> late.size() + " late");
    }

    private static void turnSomeAway(RelayWorld world, SplittableRandom random) {
        List<String> names = new ArrayList<>(world.hosts.keySet());
        long count = Math.round(TURNED_AWAY * names.size());
        for (int host = 0; host < count; host++) {
            world.turnedAway.add(names.remove(random.nextInt(names.size())));
        }
    }

    private static List<String> readers(RelayWorld world) {
        return world.readers().stream().map(host -> host.name).toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void hostsThatTheStoreTurnsAwayAreToldByOthers(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            RelayWorld world = settled(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            world.time.advance(random.nextInt(1_500));
            turnSomeAway(world, random);
            leaveOneByOne(world, OUTAGE, true);
            world.turnedAway.clear();
            leaveOneByOne(world, 5_000, true);
        }
        assertNoneLate();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void readersThatTheStoreTurnsAwayAreToldByHostsThatItServes(int hosts) {
        RelayWorld world = settled(hosts);
        world.turnedAway.addAll(readers(world));
        leaveOneByOne(world, OUTAGE, true);
        assertNoneLate();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void hostsThatTheStoreLeavesWithoutAnAnswerAreToldByOthers(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            RelayWorld world = settled(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            world.time.advance(random.nextInt(1_500));
            turnSomeAway(world, random);
            world.cutFromStore.addAll(world.turnedAway);
            world.turnedAway.clear();
            leaveOneByOne(world, OUTAGE, true);
        }
        assertNoneLate();
    }

    /** Its entry cannot have lapsed: the store serves the servers all the while. */
    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void aServerThatGoesIsNotKeptWhileOtherHostsReadTheStore(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            RelayWorld world = settled(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            world.time.advance(random.nextInt(1_500));
            turnSomeAway(world, random);
            leaveOneByOne(world, OUTAGE, false);
        }
        assertNoneLate();
    }

    /** A read that is lost is too short an outage for an entry to lapse. */
    @Test
    void aServerThatGoesIsNotKeptAfterOneLostRead() {
        RelayWorld world = settled(16);
        world.turnedAway.addAll(world.hosts.keySet());
        world.time.advance(300);
        world.turnedAway.clear();
        leaveOneByOne(world, 4_000, false);
        assertNoneLate();
    }

    /** Entries lapse in an outage, and live servers publish themselves again after it. */
    @Test
    void aServerThatGoesInAnOutageIsKeptUntilItCanHavePublishedItselfAgain() {
        RelayWorld world = settled(16);
        world.storeOut = true;
        world.time.advance(OUTAGE);
        world.remove(server(0));
        world.storeOut = false;
        world.time.advance(BOUND);
        for (RelayWorld.Host host : world.hosts.values()) {
            assertFalse(host.sendsNothingTo(server(0)), host.name);
        }
        world.time.advance(2_000);
        for (RelayWorld.Host host : world.hosts.values()) {
            assertTrue(host.sendsNothingTo(server(0)), host.name);
        }
    }

    /** Hosts that hand on each other's news would take it for fresh without end. */
    @Test
    void newsThatGoesRoundBetweenHostsGrowsOld() {
        RelayWorld world = settled(6);
        world.messageMilliseconds = 300;
        world.turnedAway.addAll(world.hosts.keySet());
        world.time.advance(OUTAGE);
        for (RelayWorld.Host host : world.hosts.values()) {
            long age = host.servers.ageMilliseconds();
            assertTrue(age > OUTAGE - BOUND, host.name + " age " + age);
        }
    }

    @Test
    void inAnOutageOfTheWholeStoreHostsAskFewOthers() {
        RelayWorld world = settled(97);
        world.storeOut = true;
        world.time.advance(2_000);
        int messages = world.messages;
        world.time.advance(10_000);
        double each = (world.messages - messages) / 10.0 / 97;
        assertTrue(each <= 4, "messages " + each);
        world.storeOut = false;
        world.time.advance(6_000);
        int calls = world.calls;
        world.time.advance(10_000);
        assertTrue(world.calls - calls <= 6 * 10 * 2.4, "calls " + (world.calls - calls));
    }

    @Test
    void hostsThatAreToldMakeNoCallsAtAStoreThatTurnsThemAway() {
        RelayWorld world = settled(16);
        List<String> readers = readers(world);
        world.hosts.keySet().stream()
                .filter(host -> !readers.contains(host))
                .forEach(world.turnedAway::add);
        int calls = world.calls;
        world.time.advance(10_000);
        assertTrue(world.calls - calls <= 2 * 10 * 2.4, "calls " + (world.calls - calls));
    }
}
