package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.ServerChange;

class ServerBookTest {

    private final ServerBook book = new ServerBook();

    static ServerEntry entry(String name, boolean leaving, long cold, long sequence) {
        BackendServer server =
                new BackendServer(
                        name, "desk", "host", "zone-1", "10.0.0.1:80", 4, 1, ServiceState.IN);
        return new ServerEntry(server, leaving, cold, 1_000, sequence);
    }

    static ServerChange there(ServerEntry entry) {
        return new ServerChange(entry.server().name(), Optional.of(entry));
    }

    static ServerChange gone(String name) {
        return new ServerChange(name, Optional.empty());
    }

    private void follow(long version, boolean whole, ServerChange... changes) {
        book.follow(new Changes<>(version, whole, List.of(changes)), version);
    }

    private List<String> namesSince(long version) {
        return book.since(version, book.version()).entries().stream()
                .map(entry -> entry.server().name())
                .toList();
    }

    @Test
    void tellsAllToWhoeverKnowsNothing() {
        follow(10, true, there(entry("a", false, 0, 1)), there(entry("b", false, 0, 1)));
        assertTrue(book.since(-1, 10).whole());
        assertEquals(List.of("a", "b"), namesSince(-1));
        assertFalse(book.since(10, 10).whole());
        assertEquals(List.of(), namesSince(10));
    }

    @Test
    void heartbeatsAreNoNews() {
        follow(10, true, there(entry("a", false, 5_000, 1)));
        follow(1_510, false, there(entry("a", false, 3_500, 2)));
        assertEquals(List.of(), namesSince(10));
    }

    @Test
    void drainingTurningColdAgainAndStartingAnewAreNews() {
        follow(10, true, there(entry("a", false, 0, 1)), there(entry("b", false, 0, 1)));
        follow(20, false, there(entry("a", true, 0, 2)));
        follow(30, false, there(entry("b", false, 4_000, 2)));
        assertEquals(List.of("a", "b"), namesSince(10));
        assertEquals(List.of("b"), namesSince(20));
    }

    @Test
    void coldTimeIsToldAsWhatIsLeft() {
        follow(10, true, there(entry("a", false, 5_000, 1)));
        assertEquals(3_000, book.since(-1, 2_010).entries().get(0).coldMilliseconds());
        assertEquals(0, book.since(-1, 9_000).entries().get(0).coldMilliseconds());
    }

    @Test
    void removalsAreToldAlsoThoseThatOnlyAWholeReadShows() {
        follow(10, true, there(entry("a", false, 0, 1)), there(entry("b", false, 0, 1)));
        follow(20, false, gone("a"));
        follow(30, true, there(entry("c", false, 0, 1)));
        assertEquals(List.of("a", "b"), book.since(10, 30).gone());
        assertEquals(List.of("b"), book.since(20, 30).gone());
        assertEquals(List.of("c"), namesSince(20));
        assertEquals(List.of(), book.since(-1, 30).gone());
    }

    @Test
    void whoeverKnowsLessThanTheOldestKeptRemovalIsToldAll() {
        follow(1, true, there(entry("first", false, 0, 1)));
        for (int number = 2; number < 1_100; number++) {
            follow(number, false, there(entry("s-" + number, false, 0, 1)));
            follow(number, false, gone("s-" + number));
        }
        assertTrue(book.since(5, 2_000).whole());
        assertEquals(List.of("first"), namesSince(5));
        assertFalse(book.since(1_000, 2_000).whole());
    }
}
