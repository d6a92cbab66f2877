package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SourceTrackerTest {

    private static final List<String> READERS = List.of("reader-1", "reader-2");
    private static final List<String> ALL = List.of("reader-1", "reader-2", "a", "b", "c");

    private final SourceTracker sources = new SourceTracker();

    @Test
    void choosesHostsWithoutARecentRequestFirst() {
        assertEquals(List.of("reader-1", "reader-2", "a"), sources.chooseHosts(ALL, 3, 0));
        assertEquals(List.of("b", "c"), sources.chooseHosts(ALL, 3, 250));
    }

    @Test
    void repeatsTheOldestRequestAfterASecond() {
        sources.chooseHosts(ALL, 5, 0);
        assertEquals(List.of(), sources.chooseHosts(ALL, 3, 500));
        assertEquals(List.of("reader-1"), sources.chooseHosts(ALL, 3, 1_000));
        assertEquals(List.of("reader-2"), sources.chooseHosts(ALL, 3, 1_250));
    }

    @Test
    void firstHostWithAFreshUpdateBecomesTheSource() {
        sources.chooseHosts(ALL, 3, 0);
        sources.recordUpdate("reader-1", 5, READERS, 10);
        assertEquals(Optional.empty(), sources.current(10));
        sources.recordUpdate("a", 900, READERS, 10);
        assertEquals(Optional.of("a"), sources.current(900));
        assertEquals(Optional.empty(), sources.current(901));
    }

    @Test
    void readerReplacesASourceThatIsNoReader() {
        sources.chooseHosts(ALL, 3, 0);
        sources.recordUpdate("a", 900, READERS, 10);
        sources.recordUpdate("reader-2", 700, READERS, 20);
        assertEquals(Optional.of("reader-2"), sources.current(20));
        sources.recordUpdate("reader-1", 950, READERS, 30);
        assertEquals(Optional.of("reader-2"), sources.current(30));
    }

    @Test
    void ignoresUpdatesOfHostsThatWereNotAsked() {
        sources.chooseHosts(ALL, 1, 0);
        assertTrue(sources.hasSubscribedTo("reader-1"));
        assertFalse(sources.hasSubscribedTo("reader-2"));
        sources.recordUpdate("reader-2", 900, READERS, 10);
        assertEquals(Optional.empty(), sources.current(10));
    }

    @Test
    void hasNoSourceAfterClear() {
        sources.chooseHosts(ALL, 1, 0);
        sources.recordUpdate("reader-1", 900, READERS, 10);
        sources.clear();
        assertEquals(Optional.empty(), sources.current(20));
        assertFalse(sources.hasSubscribedTo("reader-1"));
    }
}
