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

    private final SourceTracker sourceTracker = new SourceTracker();

    @Test
    void choosesHostsWithoutARecentRequestFirst() {
        assertEquals(List.of("reader-1", "reader-2", "a"), sourceTracker.chooseHosts(ALL, 3, 0));
        assertEquals(List.of("b", "c"), sourceTracker.chooseHosts(ALL, 3, 250));
    }

    @Test
    void repeatsTheOldestRequestAfterASecond() {
        sourceTracker.chooseHosts(ALL, 5, 0);
        assertEquals(List.of(), sourceTracker.chooseHosts(ALL, 3, 500));
        assertEquals(List.of("reader-1"), sourceTracker.chooseHosts(ALL, 3, 1_000));
        assertEquals(List.of("reader-2"), sourceTracker.chooseHosts(ALL, 3, 1_250));
    }

    @Test
    void firstHostWithAFreshUpdateBecomesTheSource() {
        sourceTracker.chooseHosts(ALL, 3, 0);
        sourceTracker.recordUpdate("reader-1", 5, READERS, 10);
        assertEquals(Optional.empty(), sourceTracker.current(10));
        sourceTracker.recordUpdate("a", 900, READERS, 10);
        assertEquals(Optional.of("a"), sourceTracker.current(900));
        assertEquals(Optional.empty(), sourceTracker.current(901));
    }

    @Test
    void readerReplacesASourceThatIsNoReader() {
        sourceTracker.chooseHosts(ALL, 3, 0);
        sourceTracker.recordUpdate("a", 900, READERS, 10);
        sourceTracker.recordUpdate("reader-2", 700, READERS, 20);
        assertEquals(Optional.of("reader-2"), sourceTracker.current(20));
        sourceTracker.recordUpdate("reader-1", 950, READERS, 30);
        assertEquals(Optional.of("reader-2"), sourceTracker.current(30));
    }

    @Test
    void ignoresUpdatesOfHostsWithoutASubscription() {
        sourceTracker.chooseHosts(ALL, 1, 0);
        assertTrue(sourceTracker.hasSubscribedTo("reader-1"));
        assertFalse(sourceTracker.hasSubscribedTo("reader-2"));
        sourceTracker.recordUpdate("reader-2", 900, READERS, 10);
        assertEquals(Optional.empty(), sourceTracker.current(10));
    }

    @Test
    void hasNoSourceAfterClear() {
        sourceTracker.chooseHosts(ALL, 1, 0);
        sourceTracker.recordUpdate("reader-1", 900, READERS, 10);
        sourceTracker.clear();
        assertEquals(Optional.empty(), sourceTracker.current(20));
        assertFalse(sourceTracker.hasSubscribedTo("reader-1"));
    }
}
