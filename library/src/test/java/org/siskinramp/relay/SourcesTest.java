package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SourcesTest {

    private static final List<String> READERS = List.of("reader-1", "reader-2");
    private static final List<String> ALL = List.of("reader-1", "reader-2", "a", "b", "c");

    private final Sources sources = new Sources();

    @Test
    void asksThoseFirstThatWereNotAskedLately() {
        assertEquals(List.of("reader-1", "reader-2", "a"), sources.next(ALL, 3, 0));
        assertEquals(List.of("b", "c"), sources.next(ALL, 3, 250));
    }

    @Test
    void onceAllWereAskedOneIsAskedAgainEachSecond() {
        sources.next(ALL, 5, 0);
        assertEquals(List.of(), sources.next(ALL, 3, 500));
        assertEquals(List.of("reader-1"), sources.next(ALL, 3, 1_000));
        assertEquals(List.of("reader-2"), sources.next(ALL, 3, 1_250));
    }

    @Test
    void theFirstWithFreshNewsBecomesTheSource() {
        sources.next(ALL, 3, 0);
        sources.heard("reader-1", 5, READERS, 10);
        assertEquals(Optional.empty(), sources.current(10));
        sources.heard("a", 900, READERS, 10);
        assertEquals(Optional.of("a"), sources.current(900));
        assertEquals(Optional.empty(), sources.current(901));
    }

    @Test
    void aReaderIsPreferredToAHostThatDoesNotReadForOthers() {
        sources.next(ALL, 3, 0);
        sources.heard("a", 900, READERS, 10);
        sources.heard("reader-2", 700, READERS, 20);
        assertEquals(Optional.of("reader-2"), sources.current(20));
        sources.heard("reader-1", 950, READERS, 30);
        assertEquals(Optional.of("reader-2"), sources.current(30));
    }

    @Test
    void listensOnlyToHostsThatWereAsked() {
        sources.next(ALL, 1, 0);
        assertTrue(sources.wasAsked("reader-1"));
        assertFalse(sources.wasAsked("reader-2"));
        sources.heard("reader-2", 900, READERS, 10);
        assertEquals(Optional.empty(), sources.current(10));
    }

    @Test
    void listensToNobodyOnceItLeaves() {
        sources.next(ALL, 1, 0);
        sources.heard("reader-1", 900, READERS, 10);
        sources.leave();
        assertEquals(Optional.empty(), sources.current(20));
        assertFalse(sources.wasAsked("reader-1"));
    }
}
