package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.peer.OperatorDelta;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.workspace.KeyDigest;
import org.siskinramp.workspace.Workspace;
import org.siskinramp.workspace.WorkspaceTable;

/** Distributes changes of a large operator table as differences. */
class OperatorDeltaTest {

    private static final int HOSTS = 105;
    private static final int ROUTES = 1_400;
    private static final int WORKSPACES = 75;

    /** The platform's limit for a change to take effect on all hosts. */
    private static final long PROPAGATION_LIMIT_MILLISECONDS = 2_500;

    private final TreeMap<String, Integer> messages = new TreeMap<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Workspace> workspaces = new ArrayList<>();
    private RelaySimulation simulation;

    private static Route route(int number, int rank) {
        return Route.builder()
                .name("route-" + number)
                .host("h")
                .prefix("/" + number + "/")
                .rank(rank)
                .build();
    }

    private static Workspace workspace(int number, String key) {
        return new Workspace(
                "workspace-" + number, Workspace.NO_RANK, 202, 202, List.of(KeyDigest.of(key)));
    }

    private void settle(int hosts) {
        settle(hosts, ROUTES);
    }

    private void settle(int hosts, int routeCount) {
        for (int number = 0; number < routeCount; number++) {
            routes.add(route(number, 0));
        }
        for (int number = 0; number < WORKSPACES; number++) {
            workspaces.add(workspace(number, "key-" + number));
        }
        simulation = new RelaySimulation(hosts);
        writeConfiguration();
        simulation.time.advance(14_000);
        simulation.configurationReads = 0;
        simulation.isLost =
                message -> {
                    messages.merge(message.getClass().getSimpleName(), 1, Integer::sum);
                    return false;
                };
    }

    private long writeConfiguration() {
        simulation.routes = List.copyOf(routes);
        simulation.workspaces = Optional.of(new WorkspaceTable(workspaces));
        return simulation.write("op/config");
    }

    private int count(Class<?> type) {
        return messages.getOrDefault(type.getSimpleName(), 0);
    }

    private void assertAllHave(long version) {
        for (RelaySimulation.Host host : simulation.hosts.values()) {
            assertEquals(version, host.routesVersion, host.name);
            assertEquals(routes.size(), host.routeCount, host.name);
            assertEquals(
                    workspaces,
                    host.routeTable.workspaces().map(WorkspaceTable::all).orElseThrow(),
                    host.name);
        }
    }

    /** Guards against reads of the whole configuration that grow with the number of hosts. */
    @Test
    void onlyReadersReadAConfigurationOfWhichLittleChanged() {
        settle(HOSTS);
        int readers = simulation.readers().size();
        routes.set(700, route(700, 1));
        workspaces.set(3, workspace(3, "key-later"));
        long version = writeConfiguration();
        simulation.time.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertAllHave(version);
        assertTrue(
                simulation.configurationReads <= readers,
                simulation.configurationReads + " reads, " + messages);
        assertEquals(HOSTS - readers, count(OperatorDelta.class), messages.toString());
        assertEquals(0, count(OperatorNews.class), messages.toString());
    }

    /** Guards against an evacuation that every host reads from the store. */
    @Test
    void anEvacuationIsSentWithoutAnyRoutes() {
        settle(16);
        simulation.write("op/evacuate");
        simulation.time.advance(300);
        for (RelaySimulation.Host host : simulation.hosts.values()) {
            assertTrue(host.operatorSettings.contains("op/evacuate"), host.name);
        }
        assertEquals(16 - simulation.readers().size(), count(OperatorDelta.class));
    }

    /** Guards against traffic between zones: a large change is read from the store instead. */
    @Test
    void aLargeChangeIsOnlyAnnounced() {
        settle(16);
        routes.replaceAll(route -> route(Integer.parseInt(route.name().substring(6)), 2));
        long version = writeConfiguration();
        simulation.time.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertAllHave(version);
        assertEquals(0, count(OperatorDelta.class), messages.toString());
    }

    /** Guards against hosts that keep old keys after a message was lost. */
    @Test
    void aLostDeltaIsMadeUpFor() {
        settle(16);
        simulation.isLost = OperatorDelta.class::isInstance;
        workspaces.set(3, workspace(3, "key-later"));
        long version = writeConfiguration();
        simulation.time.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertAllHave(version);
    }

    /**
     * Guards against a difference that is applied to another table than the one it was made for.
     */
    @Test
    void aHostThatMissedTheChangeBeforeAsksForTheWholeTable() {
        settle(16);
        simulation.isLost = message -> true;
        workspaces.set(3, workspace(3, "key-later"));
        writeConfiguration();
        simulation.time.advance(100);
        simulation.isLost =
                message -> {
                    messages.merge(message.getClass().getSimpleName(), 1, Integer::sum);
                    return false;
                };
        workspaces.set(4, workspace(4, "key-latest"));
        long version = writeConfiguration();
        simulation.time.advance(400);
        assertAllHave(version);
        assertTrue(count(OperatorNews.class) > 0, messages.toString());
        assertTrue(
                simulation.configurationReads <= 2 * simulation.readers().size(),
                simulation.configurationReads + " reads, " + messages);
    }

    /** Guards against tables that no operator wrote, and against hosts that stay behind. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void hostsHaveOnlyWrittenTablesThoughMessagesAreLostAndLate(long seed) {
        Random random = new Random(seed);
        settle(12, 90);
        Map<Long, Long> digests = new HashMap<>();
        simulation.isLost = message -> random.nextInt(4) == 0;
        long version = 0;
        for (int change = 0; change < 30; change++) {
            int number = random.nextInt(routes.size());
            routes.set(number, route(number, random.nextInt(5)));
            int owner = random.nextInt(WORKSPACES);
            workspaces.set(owner, workspace(owner, "key-" + owner + "-" + change));
            if (random.nextInt(3) == 0) {
                routes.remove(routes.size() - 1);
            }
            version = writeConfiguration();
            digests.put(version, digestOfConfiguration());
            simulation.messageDelayMilliseconds = random.nextLong(1, 300);
            simulation.time.advance(random.nextInt(900));
            for (RelaySimulation.Host host : simulation.hosts.values()) {
                long actual = RouteTableDeltas.digest(host.routeTable);
                assertEquals(digests.getOrDefault(host.routesVersion, actual), actual, host.name);
            }
        }
        simulation.isLost = message -> false;
        simulation.time.advance(PROPAGATION_LIMIT_MILLISECONDS);
        assertAllHave(version);
    }

    private long digestOfConfiguration() {
        return RouteTableDeltas.digest(
                new RouteTable(
                        1,
                        simulation.routes,
                        List.of(),
                        new CallerLimits(1, 1, 1, 1),
                        simulation.workspaces));
    }
}
