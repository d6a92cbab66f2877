package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
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
    private static final int SEEDS = 20;

    private final List<String> late = new ArrayList<>();

    private static RelayWorld settled(int hosts) {
        RelayWorld world = new RelayWorld(hosts);
        world.time.advance(14_000);
        return world;
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

    private void leaveOneByOne(RelayWorld world, long milliseconds, Predicate<Integer> drains) {
        long end = world.time.monotonicMilliseconds() + milliseconds;
        for (int number = 0; world.time.monotonicMilliseconds() < end; number++) {
            leave(world, "servers/" + world.time.monotonicMilliseconds(), drains.test(number));
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
        for (int seed = 0; seed < SEEDS; seed++) {
            RelayWorld world = settled(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            world.time.advance(random.nextInt(1_500));
            turnSomeAway(world, random);
            leaveOneByOne(world, OUTAGE, number -> true);
            world.turnedAway.clear();
            leaveOneByOne(world, 5_000, number -> true);
        }
        assertNoneLate();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void readersThatTheStoreTurnsAwayAreToldByHostsThatItServes(int hosts) {
        RelayWorld world = settled(hosts);
        world.turnedAway.addAll(readers(world));
        leaveOneByOne(world, OUTAGE, number -> true);
        assertNoneLate();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void hostsThatTheStoreLeavesWithoutAnAnswerAreToldByOthers(int hosts) {
        for (int seed = 0; seed < SEEDS; seed++) {
            RelayWorld world = settled(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            world.time.advance(random.nextInt(1_500));
            turnSomeAway(world, random);
            world.cutFromStore.addAll(world.turnedAway);
            world.turnedAway.clear();
            leaveOneByOne(world, OUTAGE, number -> true);
        }
        assertNoneLate();
    }

    /** Its entry cannot have lapsed: the store serves the servers all the while. */
    @ParameterizedTest
    @ValueSource(ints = {6, 16, 97})
    void aServerThatGoesIsNotKeptWhileOtherHostsReadTheStore(int hosts) {
        for (int seed = 0; seed < SEEDS; seed++) {
            RelayWorld world = settled(hosts);
            SplittableRandom random = new SplittableRandom(seed);
            world.time.advance(random.nextInt(1_500));
            turnSomeAway(world, random);
            leaveOneByOne(world, OUTAGE, number -> false);
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
        leaveOneByOne(world, 4_000, number -> false);
        assertNoneLate();
    }

    /** Entries lapse in an outage, and live servers publish themselves again after it. */
    @Test
    void aServerThatGoesInAnOutageIsKeptUntilItCanHavePublishedItselfAgain() {
        RelayWorld world = settled(16);
        world.storeOut = true;
        world.time.advance(OUTAGE);
        world.remove("servers/lapsed");
        world.storeOut = false;
        world.time.advance(BOUND);
        for (RelayWorld.Host host : world.hosts.values()) {
            assertFalse(host.sendsNothingTo("servers/lapsed"), host.name);
        }
        world.time.advance(2_000);
        for (RelayWorld.Host host : world.hosts.values()) {
            assertTrue(host.sendsNothingTo("servers/lapsed"), host.name);
        }
    }
}
