package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.FeedNews;

class MultipartListTest {

    private final MultipartList<ServerEntry> parts = new MultipartList<>();

    private static FeedNews part(long version, int part, boolean hasMoreParts, String server) {
        List<ServerEntry> servers = List.of(ServerTableReplicaTest.entry(server, false, 0, 1));
        return new FeedNews(
                -1, version, true, part, hasMoreParts, servers, List.of(), 0, 0, 1, 0, 3, 0);
    }

    private Optional<List<String>> add(FeedNews update) {
        return parts.addPart(
                        update.serversVersion(),
                        update.part(),
                        update.hasMoreParts(),
                        update.servers())
                .map(all -> all.stream().map(entry -> entry.server().name()).toList());
    }

    @Test
    void joinsThePartsInOrder() {
        assertEquals(Optional.empty(), add(part(7, 0, true, "a")));
        assertEquals(Optional.empty(), add(part(7, 1, true, "b")));
        assertEquals(Optional.of(List.of("a", "b", "c")), add(part(7, 2, false, "c")));
    }

    @Test
    void dropsListWithoutItsFirstPart() {
        assertEquals(Optional.empty(), add(part(7, 1, false, "b")));
        assertEquals(Optional.of(List.of("a")), add(part(8, 0, false, "a")));
    }

    @Test
    void dropsListWithAMissingPart() {
        assertEquals(Optional.empty(), add(part(7, 0, true, "a")));
        assertEquals(Optional.empty(), add(part(7, 2, false, "c")));
    }

    @Test
    void doesNotMixPartsOfTwoVersions() {
        assertEquals(Optional.empty(), add(part(7, 0, true, "a")));
        assertEquals(Optional.empty(), add(part(8, 1, false, "b")));
        assertEquals(Optional.empty(), add(part(9, 0, true, "a")));
        assertEquals(Optional.of(List.of("a", "b")), add(part(9, 1, false, "b")));
    }
}
