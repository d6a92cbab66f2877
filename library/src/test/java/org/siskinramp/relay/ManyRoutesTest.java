package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.route.Route;

/**
 * Distributes more routes than are sent without a request, while the store rejects the calls of
 * some hosts.
 */
class ManyRoutesTest {

    private static final int HOSTS = 16;
    private static final int ROUTES = 1_400;

    /** The platform's limit for a change to take effect on all hosts. */
    private static final long PROPAGATION_LIMIT_MILLISECONDS = 2_000;

    private static RelaySimulation settledSimulation() {
        RelaySimulation simulation = new RelaySimulation(HOSTS);
        List<Route> many = new ArrayList<>();
        for (int number = 0; number < ROUTES; number++) {
            many.add(Route.builder().name("r").host("h").prefix("/" + number + "/").build());
        }
        simulation.routes = many;
        simulation.write("op/config");
        simulation.time.advance(14_000);
        return simulation;
    }

    @Test
    void hostRejectedByTheStoreReceivesRoutesAndEvacuations() {
        RelaySimulation simulation = settledSimulation();
        simulation.rejectedByStore.add(simulation.readers().get(0).name);
        simulation.rejectedByStore.addAll(List.of("host-2", "host-5", "host-8", "host-11"));
        simulation.time.advance(1_000);
        long version = simulation.write("op/config");
        simulation.write("op/evacuate");
        simulation.time.advance(PROPAGATION_LIMIT_MILLISECONDS);
        for (RelaySimulation.Host host : simulation.hosts.values()) {
            assertEquals(version, host.routesVersion, host.name);
            assertEquals(ROUTES, host.routeCount, host.name);
            assertTrue(host.operatorSettings.contains("op/evacuate"), host.name);
        }
    }

    @Test
    void hostStartedWhileTheStoreIsUnavailableReceivesRoutesFromASeed() {
        RelaySimulation simulation = settledSimulation();
        simulation.seeds = List.of("host-3:1", "host-7:1");
        simulation.storeUnavailable = true;
        RelaySimulation.Host started = simulation.host("host-5");
        started.restart();
        simulation.time.advance(3_000);
        assertEquals(ROUTES, started.routeCount);
    }

    @Test
    void hostsThatReadTheStoreAreNotSentTheRoutes() {
        RelaySimulation simulation = settledSimulation();
        int messages = simulation.messages;
        simulation.write("op/config");
        simulation.time.advance(10_000);
        double messagesPerHostAndSecond = (simulation.messages - messages) / 10.0 / HOSTS;
        assertTrue(messagesPerHostAndSecond <= 4, "messages " + messagesPerHostAndSecond);
    }
}
