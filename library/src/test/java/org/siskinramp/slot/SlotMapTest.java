package org.siskinramp.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;

final class SlotMapTest {

    private static List<SlotMap.Candidate> hosts(int count) {
        List<SlotMap.Candidate> hosts = new ArrayList<>();
        for (int host = 0; host < count; host++) {
            hosts.add(new SlotMap.Candidate("entry-" + host, "zone-" + host % 3));
        }
        return hosts;
    }

    private static Configuration portal(int servers, AdministrativeState firstState) {
        Configuration.Builder builder =
                Configuration.empty().toBuilder(1)
                        .service(
                                new Service(
                                        "portal",
                                        "/",
                                        1_000,
                                        1,
                                        List.of(),
                                        AdministrativeState.IN));
        for (int server = 0; server < servers; server++) {
            AdministrativeState state = server == 0 ? firstState : AdministrativeState.IN;
            String zone = "zone-" + server % 3;
            builder.backendServer(
                    new BackendServer(
                            "portal-" + server, "portal", "h", zone, "127.0.0.1:1", 4, 1, state));
        }
        return builder.build();
    }

    private static Map<String, Long> counts(SlotMap map, Function<String, String> group) {
        return map.slots().stream()
                .collect(
                        Collectors.groupingBy(
                                slot -> group.apply(map.home(slot).orElseThrow()),
                                Collectors.counting()));
    }

    private static long moved(SlotMap before, SlotMap after) {
        return before.slots().stream()
                .filter(slot -> !before.home(slot).equals(after.home(slot)))
                .count();
    }

    @Test
    void aMapThatReusesHomesEqualsOneThatIsComputedFromScratch() {
        SlotMap reused = SlotMap.of(portal(5, AdministrativeState.IN), hosts(4));
        for (int step = 1; step <= 12; step++) {
            Configuration configuration = portal(4 + step / 3, AdministrativeState.OUT);
            reused = reused.recompute(configuration, hosts(4 + step / 5));
            SlotMap fromScratch = SlotMap.of(configuration, hosts(4 + step / 5));
            assertEquals(fromScratch.slots(), reused.slots());
            assertEquals(0, moved(fromScratch, reused));
        }
    }

    @Test
    void slotsAreSpreadEvenlyOverHostsAndAvailabilityZones() {
        for (int servers = 1; servers <= 30; servers++) {
            SlotMap map = SlotMap.of(portal(servers, AdministrativeState.IN), hosts(13));
            long slots = servers * 4L;
            counts(map, host -> host)
                    .values()
                    .forEach(count -> assertTrue(count == slots / 13 || count == slots / 13 + 1));
            Map<String, Long> byZone =
                    counts(map, host -> "zone-" + Integer.parseInt(host.substring(6)) % 3);
            assertTrue(Math.abs(byZone.getOrDefault("zone-0", 0L) - slots * 5.0 / 13) < 1);
            assertTrue(Math.abs(byZone.getOrDefault("zone-1", 0L) - slots * 4.0 / 13) < 1);
        }
    }

    @Test
    void aHostHasAtMostOneSlotOfAServerWhenThereAreMoreHostsThanSlots() {
        SlotMap map = SlotMap.of(portal(30, AdministrativeState.IN), hosts(13));
        long pairs =
                map.slots().stream()
                        .map(slot -> slot.backendServer() + map.home(slot).orElseThrow())
                        .distinct()
                        .count();
        assertEquals(120, pairs);
    }

    @Test
    void mostHomesAreInTheAvailabilityZoneOfTheServer() {
        SlotMap map = SlotMap.of(portal(30, AdministrativeState.IN), hosts(15));
        long sameZone =
                map.slots().stream()
                        .filter(
                                slot ->
                                        Integer.parseInt(slot.backendServer().substring(7)) % 3
                                                == Integer.parseInt(
                                                                map.home(slot)
                                                                        .orElseThrow()
                                                                        .substring(6))
                                                        % 3)
                        .count();
        assertTrue(sameZone >= 110, "sameZone=" + sameZone);
    }

    @Test
    void addingAHostMovesFewSlots() {
        Configuration configuration = portal(30, AdministrativeState.IN);
        long moved =
                moved(SlotMap.of(configuration, hosts(14)), SlotMap.of(configuration, hosts(15)));
        assertTrue(moved <= 30, "moved=" + moved);
    }

    @Test
    void aServerThatIsOutOfServiceKeepsItsSlots() {
        SlotMap in = SlotMap.of(portal(6, AdministrativeState.IN), hosts(13));
        SlotMap out = SlotMap.of(portal(6, AdministrativeState.OUT), hosts(13));
        assertEquals(24, out.slots().size());
        assertEquals(0, moved(in, out));
    }

    @Test
    void successorsAreAllOtherHosts() {
        SlotMap map = SlotMap.of(portal(1, AdministrativeState.IN), hosts(13));
        SlotKey slot = new SlotKey("portal-0", 0);
        List<String> order = new ArrayList<>(map.successors(slot));
        order.add(map.home(slot).orElseThrow());
        assertEquals(13, order.stream().distinct().count());
    }
}
