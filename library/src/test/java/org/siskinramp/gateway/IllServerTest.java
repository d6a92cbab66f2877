package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A server says for a while that it is ill, rightly or not, while others are free. */
class IllServerTest {

    private static final long GAP = 40;

    private final CrashWorld world = new CrashWorld();

    private void sendFor(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += GAP) {
            var unused = world.send("content-" + world.time().monotonicMilliseconds());
            world.time().advance(GAP);
        }
    }

    @Test
    void getsRequestsAgainOnceItSaysThatItIsWell() {
        ModelServers.Model ill = world.publish("a");
        world.publish("b");
        sendFor(500);
        ill.sayIll(true);
        sendFor(2_000);
        long until = world.time().monotonicMilliseconds();
        ill.sayIll(false);
        sendFor(3_000);
        assertTrue(ill.arrivalsAfter(until) > 10, "arrivals " + ill.arrivalsAfter(until));
    }

    @Test
    void getsNoneWhileItSaysSoAndOthersAreFree() {
        ModelServers.Model ill = world.publish("a");
        world.publish("b");
        sendFor(500);
        ill.sayIll(true);
        sendFor(300);
        long noticed = world.time().monotonicMilliseconds();
        sendFor(5_000);
        assertTrue(ill.arrivalsAfter(noticed) == 0, "arrivals " + ill.arrivalsAfter(noticed));
    }
}
