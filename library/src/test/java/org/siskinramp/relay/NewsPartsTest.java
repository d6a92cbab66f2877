package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.FeedNews;

class NewsPartsTest {

    private final NewsParts<ServerEntry> parts = new NewsParts<>();

    private static FeedNews part(long version, int part, boolean more, String server) {
        List<ServerEntry> servers = List.of(ServerBookTest.entry(server, false, 0, 1));
        return new FeedNews(-1, version, true, part, more, servers, List.of(), 0, 0, 1, 0, 3, 0);
    }

    private Optional<List<String>> add(FeedNews news) {
        return parts.add(news.version(), news.part(), news.more(), news.servers())
                .map(all -> all.stream().map(entry -> entry.server().name()).toList());
    }

    @Test
    void joinsThePartsInOrder() {
        assertEquals(Optional.empty(), add(part(7, 0, true, "a")));
        assertEquals(Optional.empty(), add(part(7, 1, true, "b")));
        assertEquals(Optional.of(List.of("a", "b", "c")), add(part(7, 2, false, "c")));
    }

    @Test
    void aListWhoseFirstPartIsMissingIsDropped() {
        assertEquals(Optional.empty(), add(part(7, 1, false, "b")));
        assertEquals(Optional.of(List.of("a")), add(part(8, 0, false, "a")));
    }

    @Test
    void aListWithAGapIsDropped() {
        assertEquals(Optional.empty(), add(part(7, 0, true, "a")));
        assertEquals(Optional.empty(), add(part(7, 2, false, "c")));
    }

    @Test
    void partsOfTwoListsAreNotMixed() {
        assertEquals(Optional.empty(), add(part(7, 0, true, "a")));
        assertEquals(Optional.empty(), add(part(8, 1, false, "b")));
        assertEquals(Optional.empty(), add(part(9, 0, true, "a")));
        assertEquals(Optional.of(List.of("a", "b")), add(part(9, 1, false, "b")));
    }
}
