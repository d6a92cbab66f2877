package org.siskinramp.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RouteTableTest {

    private static final CallerLimits LIMITS = new CallerLimits(1000, 1000, 1000, 1000);

    @Test
    void findsTheLongestPrefixOfThePath() {
        RouteTable table = table(route("a", "x.example", "/a/"), route("b", "x.example", "/a/b/"));
        assertEquals("b", table.find("x.example", "/a/b/c").orElseThrow().name());
        assertEquals("a", table.find("x.example", "/a/bc").orElseThrow().name());
    }

    @Test
    void findsNothingOnAnotherHostOrOutsideEveryPrefix() {
        RouteTable table = table(route("a", "x.example", "/a/"));
        assertTrue(table.find("y.example", "/a/b").isEmpty());
        assertTrue(table.find("x.example", "/ab").isEmpty());
        assertTrue(table.find("x.example", "").isEmpty());
    }

    @Test
    void theRootPrefixMatchesEveryPath() {
        assertEquals("all", table(route("all", "x", "/")).find("x", "/q/r").orElseThrow().name());
    }

    @Test
    void distributesRequestsInProportionToTheWeights() {
        Route route =
                Route.builder()
                        .name("split")
                        .host("x")
                        .prefix("/")
                        .shares(List.of(new ServiceShare("s", 9), new ServiceShare("t", 1)))
                        .build();
        WeightedServiceSelector selector = new WeightedServiceSelector();
        List<String> services = new ArrayList<>();
        for (int request = 0; request < 100; request++) {
            services.add(selector.next(route));
        }
        assertEquals(90, services.stream().filter("s"::equals).count());
        assertEquals(9, services.subList(0, 10).stream().filter("s"::equals).count());
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(1, List.of(routes), List.of(), LIMITS);
    }

    private static Route route(String name, String host, String prefix) {
        return Route.builder()
                .name(name)
                .host(host)
                .prefix(prefix)
                .shares(List.of(new ServiceShare("s", 1)))
                .build();
    }
}
