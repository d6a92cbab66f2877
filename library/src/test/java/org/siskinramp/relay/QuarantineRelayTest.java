package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers end under one request at three hosts; all others have to refuse it. */
class QuarantineRelayTest {

    private static final String FATAL = "fatal";
    private static final int HOSTS = 17;
    private static final long SETTLED = 6_000;

    /** The bound of the operators for hosts to refuse it. */
    private static final long BOUND = 3_000;

    private static RelayWorld settled(int hosts) {
        RelayWorld world = new RelayWorld(hosts);
        world.time.advance(SETTLED);
        return world;
    }

    private static void proveThree(RelayWorld world) {
        List<RelayWorld.Host> hosts = List.copyOf(world.hosts.values());
        for (int crash = 0; crash < 3; crash++) {
            hosts.get(crash * 5).prove(FATAL, "server-" + crash);
        }
    }

    private static long refusing(RelayWorld world) {
        return world.hosts.values().stream()
                .filter(host -> host.alive && host.quarantine.refuses(FATAL))
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {17, 110, 300})
    void allHostsRefuseItInTime(int hosts) {
        RelayWorld world = settled(hosts);
        proveThree(world);
        world.time.advance(BOUND);
        assertEquals(hosts, refusing(world));
    }

    /** Three reports to each reader, and news of each reader to its hosts, now and twice a span. */
    @ParameterizedTest
    @ValueSource(ints = {17, 110, 300})
    void messagesGrowWithTheHostsAndNotWithTheirSquare(int hosts) {
        RelayWorld calm = settled(hosts);
        RelayWorld world = settled(hosts);
        proveThree(world);
        calm.time.advance(BOUND);
        world.time.advance(BOUND);
        int readers = world.readers().size();
        int more = world.messages - calm.messages;
        assertTrue(more <= 3 * readers + 4 * hosts, "messages more than on a calm day: " + more);
        assertTrue(world.calls - calm.calls <= 3 + 3 * readers, "calls " + world.calls);
    }

    @Test
    void twoCrashesRefuseNothing() {
        RelayWorld world = settled(HOSTS);
        world.host("host-1").prove(FATAL, "server-1");
        world.host("host-2").prove(FATAL, "server-2");
        world.host("host-3").prove(FATAL, "server-2");
        world.time.advance(BOUND);
        assertEquals(0, refusing(world));
    }

    @Test
    void allHostsRefuseItWhileTheStoreIsAway() {
        RelayWorld world = settled(HOSTS);
        world.storeOut = true;
        world.time.advance(1_000);
        proveThree(world);
        world.time.advance(BOUND);
        assertEquals(HOSTS, refusing(world));
        world.time.advance(30_000);
        assertEquals(HOSTS, refusing(world));
    }

    @Test
    void hostsThatAreCutFromTheOthersReadItInTheStore() {
        RelayWorld world = settled(HOSTS);
        world.cutFromHosts.add("host-7");
        world.time.advance(BOUND);
        proveThree(world);
        world.time.advance(BOUND);
        assertTrue(world.host("host-7").quarantine.refuses(FATAL));
    }

    @Test
    void whatAHostProvesThatIsCutFromTheStoreIsKept() {
        RelayWorld world = settled(HOSTS);
        world.cutFromStore.add("host-0");
        proveThree(world);
        world.time.advance(BOUND);
        assertEquals(HOSTS, refusing(world));
        world.hosts.values().forEach(RelayWorld.Host::restart);
        world.time.advance(BOUND);
        assertEquals(HOSTS - 1, refusing(world));
    }

    @Test
    void allHostsKnowItAfterARestartOfAll() {
        RelayWorld world = settled(HOSTS);
        proveThree(world);
        world.time.advance(BOUND);
        world.hosts.values().forEach(RelayWorld.Host::restart);
        world.time.advance(BOUND);
        assertEquals(HOSTS, refusing(world));
    }

    @Test
    void readersMayDieInBetween() {
        RelayWorld world = settled(HOSTS);
        List<RelayWorld.Host> readers = world.readers();
        proveThree(world);
        readers.forEach(reader -> reader.alive = false);
        world.time.advance(BOUND);
        assertEquals(
                world.hosts.values().stream().filter(host -> host.alive).count(), refusing(world));
    }

    @Test
    void whoeverRunsItToItsEndReleasesItEverywhere() {
        RelayWorld world = settled(HOSTS);
        proveThree(world);
        world.time.advance(BOUND);
        world.host("host-8").quarantineRelay.acquit(FATAL);
        world.time.advance(BOUND);
        assertEquals(0, refusing(world));
        world.hosts.values().forEach(RelayWorld.Host::restart);
        world.time.advance(BOUND);
        assertEquals(0, refusing(world));
    }

    @Test
    void anOperatorReleasesItByRemovingItsRows() {
        RelayWorld world = settled(HOSTS);
        proveThree(world);
        world.time.advance(20_000);
        world.release(FATAL);
        world.time.advance(20_000);
        assertEquals(0, refusing(world));
    }
}
