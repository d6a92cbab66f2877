package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.route.Route;

/** Operators set more routes than are told unasked while the store turns some hosts away. */
class ManyRoutesTest {

    private static final int HOSTS = 16;
    private static final int ROUTES = 1_400;

    /** The bound of the platform for a change to be in force. */
    private static final long BOUND = 2_000;

    private static RelayWorld settled() {
        RelayWorld world = new RelayWorld(HOSTS);
        List<Route> many = new ArrayList<>();
        for (int number = 0; number < ROUTES; number++) {
            many.add(Route.builder().name("r").host("h").prefix("/" + number + "/").build());
        }
        world.routes = many;
        world.write("op/config");
        world.time.advance(14_000);
        return world;
    }

    @Test
    void aHostThatTheStoreTurnsAwayLearnsRoutesAndEvacuations() {
        RelayWorld world = settled();
        world.turnedAway.add(world.readers().get(0).name);
        world.turnedAway.addAll(List.of("host-2", "host-5", "host-8", "host-11"));
        world.time.advance(1_000);
        long version = world.write("op/config");
        world.write("op/evacuate");
        world.time.advance(BOUND);
        for (RelayWorld.Host host : world.hosts.values()) {
            assertEquals(version, host.routesVersion, host.name);
            assertEquals(ROUTES, host.routeCount, host.name);
            assertTrue(host.settings.contains("op/evacuate"), host.name);
        }
    }

    @Test
    void aHostThatStartsWhileTheStoreIsAwayLearnsThemFromASeed() {
        RelayWorld world = settled();
        world.seeds = List.of("host-3:1", "host-7:1");
        world.storeOut = true;
        RelayWorld.Host started = world.host("host-5");
        started.restart();
        world.time.advance(3_000);
        assertEquals(ROUTES, started.routeCount);
    }

    @Test
    void hostsThatReadTheStoreAreNotToldThem() {
        RelayWorld world = settled();
        int messages = world.messages;
        world.write("op/config");
        world.time.advance(10_000);
        double each = (world.messages - messages) / 10.0 / HOSTS;
        assertTrue(each <= 4, "messages " + each);
    }
}
