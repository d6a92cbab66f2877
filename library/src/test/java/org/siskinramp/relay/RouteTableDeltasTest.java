package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.siskinramp.peer.RouteTableDelta;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.workspace.KeyDigest;
import org.siskinramp.workspace.Workspace;
import org.siskinramp.workspace.WorkspaceTable;

class RouteTableDeltasTest {

    private final Random random = new Random(7);

    private RouteTable randomTable(long version) {
        List<Route> routes = new ArrayList<>();
        List<RoutedService> services = new ArrayList<>();
        List<Workspace> workspaces = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            String name = "n-" + number;
            if (random.nextBoolean()) {
                routes.add(
                        Route.builder()
                                .name(name)
                                .host("h")
                                .prefix("/" + number + "/")
                                .rank(random.nextInt(2))
                                .openToAll(random.nextBoolean())
                                .build());
            }
            if (random.nextBoolean()) {
                services.add(new RoutedService(name, "/health", random.nextInt(2), 0));
            }
            if (random.nextBoolean()) {
                KeyDigest key = KeyDigest.of(name + random.nextInt(2));
                workspaces.add(new Workspace(name, random.nextInt(2), 1, 1, List.of(key)));
            }
        }
        return new RouteTable(
                version,
                routes,
                services,
                new CallerLimits(1, 1, 1, random.nextInt(2)),
                random.nextInt(4) == 0
                        ? Optional.empty()
                        : Optional.of(new WorkspaceTable(workspaces)));
    }

    /** Guards against a change that is left out, of any kind. */
    @Test
    void aDifferenceTurnsTheBaseIntoTheOtherTable() {
        for (int run = 0; run < 1_000; run++) {
            RouteTable base = randomTable(1);
            RouteTable current = randomTable(2);
            RouteTableDelta delta = RouteTableDeltas.between(base, current);
            RouteTable result = RouteTableDeltas.apply(base, delta).orElseThrow();
            assertEquals(2, result.version());
            RouteTableDelta rest = RouteTableDeltas.between(result, current);
            assertTrue(
                    rest.changedRoutes().isEmpty()
                            && rest.removedRoutes().isEmpty()
                            && rest.changedServices().isEmpty()
                            && rest.removedServices().isEmpty()
                            && rest.changedWorkspaces().isEmpty()
                            && rest.removedWorkspaces().isEmpty(),
                    rest.toString());
            assertEquals(current.limits(), result.limits());
            assertEquals(current.workspaces().isPresent(), result.workspaces().isPresent());
            assertEquals(Optional.of(current), RouteTableDeltas.apply(current, delta));
        }
    }

    /** Guards against keys of two timelines in one table after the store was restored. */
    @Test
    void aDifferenceDoesNotApplyToAnotherTableOfTheSameVersion() {
        RouteTable empty = new RouteTable(1, List.of(), List.of(), new CallerLimits(1, 1, 1, 1));
        for (int run = 0; run < 100; run++) {
            RouteTable base = randomTable(1);
            RouteTable current = randomTable(2);
            RouteTableDelta delta = RouteTableDeltas.between(base, current);
            Optional<RouteTable> result = RouteTableDeltas.apply(empty, delta);
            long digest = RouteTableDeltas.digest(current);
            result.ifPresent(table -> assertEquals(digest, RouteTableDeltas.digest(table)));
            assertEquals(Optional.empty(), RouteTableDeltas.apply(randomTable(3), delta));
        }
    }

    private static RouteTable tableWithOwner(String owner, String other) {
        Workspace withKey = new Workspace(owner, 0, 1, 1, List.of(KeyDigest.of("shared")));
        Workspace without = new Workspace(other, 0, 1, 1, List.of());
        return new RouteTable(
                1,
                List.of(),
                List.of(),
                new CallerLimits(1, 1, 1, 1),
                Optional.of(new WorkspaceTable(List.of(withKey, without))));
    }

    /** Guards against an error while a message is received. */
    @Test
    void aDifferenceThatWouldGiveAKeyToTwoWorkspacesDoesNotApply() {
        RouteTable base = tableWithOwner("crew", "yard");
        RouteTable current =
                new RouteTable(
                        2,
                        List.of(),
                        List.of(),
                        new CallerLimits(1, 1, 1, 1),
                        Optional.of(
                                new WorkspaceTable(
                                        List.of(
                                                new Workspace(
                                                        "dock",
                                                        0,
                                                        1,
                                                        1,
                                                        List.of(KeyDigest.of("shared"))),
                                                new Workspace("yard", 0, 1, 1, List.of())))));
        RouteTableDelta delta = RouteTableDeltas.between(base, current);
        assertTrue(RouteTableDeltas.apply(base, delta).isPresent());
        assertEquals(
                Optional.empty(), RouteTableDeltas.apply(tableWithOwner("yard", "crew"), delta));
    }
}
