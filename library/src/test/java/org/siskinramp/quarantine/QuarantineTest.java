package org.siskinramp.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.siskinramp.follow.Changes;
import org.siskinramp.time.VirtualTime;

class QuarantineTest {

    private static final long HOUR = 3_600_000;

    private final VirtualTime time = new VirtualTime();
    private final List<String> events = new ArrayList<>();
    private final Quarantine quarantine = new Quarantine(time, event -> events.add(event.toLine()));

    private static Crash crash(String content, int server) {
        return new Crash(content, "read", "server-" + server, 1);
    }

    private void addThree(String content) {
        quarantine.add(List.of(crash(content, 1), crash(content, 2), crash(content, 3)));
    }

    private static CrashChange row(Crash crash) {
        return new CrashChange(crash.key(), Optional.of(crash));
    }

    @Test
    void refusesWhatEndedThreeServers() {
        quarantine.add(List.of(crash("a", 1), crash("a", 2)));
        assertFalse(quarantine.refuses("a"));
        quarantine.add(List.of(crash("a", 3)));
        assertTrue(quarantine.refuses("a"));
        assertFalse(quarantine.refuses("b"));
    }

    @Test
    void aCrashThatIsReportedTwiceCountsOnce() {
        for (int report = 0; report < 5; report++) {
            quarantine.add(List.of(crash("a", 1), crash("a", 2)));
        }
        assertEquals(2, quarantine.crashes("a"));
    }

    @Test
    void anotherStartOfTheSameServerCountsAgain() {
        for (int born = 1; born <= 3; born++) {
            quarantine.add(List.of(new Crash("a", "read", "server", born)));
        }
        assertTrue(quarantine.refuses("a"));
    }

    @Test
    void lastsAnHourAndThenLetsOneCopyTry() {
        addThree("a");
        time.advance(HOUR - 1);
        assertTrue(quarantine.refuses("a"));
        time.advance(1);
        assertFalse(quarantine.refuses("a"));
        quarantine.beginTrial("a");
        assertTrue(quarantine.refuses("a"));
    }

    @Test
    void lastsTwiceAsLongAfterEachFurtherCrash() {
        addThree("a");
        time.advance(HOUR);
        quarantine.add(List.of(crash("a", 4)));
        assertEquals(2 * HOUR, quarantine.refusedMilliseconds("a"));
    }

    @Test
    void forgetsFewerCrashesAfterTenMinutes() {
        quarantine.add(List.of(crash("a", 1), crash("a", 2)));
        time.advance(600_001);
        var unused = quarantine.forgetOld();
        quarantine.add(List.of(crash("a", 3)));
        assertFalse(quarantine.refuses("a"));
    }

    @Test
    void reportsThatComeAfterAnAcquittalCountNoMore() {
        addThree("a");
        assertEquals(3, quarantine.acquit("a").size());
        addThree("a");
        quarantine.followTold(List.of(new QuarantinedContent("a", "read", 3)), true);
        assertFalse(quarantine.refuses("a"));
    }

    @Test
    void countsAnewAfterAnAcquittal() {
        addThree("a");
        var unused = quarantine.acquit("a");
        quarantine.add(List.of(crash("a", 4), crash("a", 5), crash("a", 6)));
        assertTrue(quarantine.refuses("a"));
    }

    @Test
    void whatTheTableLacksIsReleased() {
        quarantine.follow(
                new Changes<>(
                        1,
                        true,
                        List.of(row(crash("a", 1)), row(crash("a", 2)), row(crash("a", 3)))));
        assertTrue(quarantine.refuses("a"));
        quarantine.follow(
                new Changes<>(
                        2, false, List.of(new CrashChange(crash("a", 1).key(), Optional.empty()))));
        assertFalse(quarantine.refuses("a"));
        quarantine.follow(new Changes<>(3, true, List.of()));
        assertEquals(0, quarantine.crashes("a"));
    }

    @Test
    void aReportThatTheTableNeverShowsEnds() {
        addThree("a");
        quarantine.follow(new Changes<>(1, true, List.of()));
        assertTrue(quarantine.refuses("a"));
        time.advance(16_000);
        quarantine.follow(new Changes<>(1, false, List.of()));
        assertFalse(quarantine.refuses("a"));
    }

    /** A host that reads no table is told that others keep on refusing what it proved a part of. */
    @Test
    void refusesWithoutAGapWhatOthersTellOnceItsOwnReportIsOld() {
        List<QuarantinedContent> told = List.of(new QuarantinedContent("a", "read", 4));
        quarantine.add(List.of(crash("a", 1)));
        for (int second = 0; second < 60; second++) {
            quarantine.followTold(told, true);
            assertTrue(quarantine.refuses("a"), "after " + second + " s");
            time.advance(1_000);
        }
        assertEquals(1, events.size());
        quarantine.followTold(List.of(), true);
        assertFalse(quarantine.refuses("a"));
        assertEquals(2, events.size());
        assertTrue(events.get(1).startsWith("event=quarantine_ended content=a"));
    }

    @Test
    void tenThousandRequestsThatEndServersAreBounded() {
        for (int content = 0; content < 10_000; content++) {
            addThree("content-" + content);
        }
        assertEquals(1_000, quarantine.contents().size());
        assertTrue(quarantine.refuses("content-9999"));
        assertFalse(quarantine.refuses("content-0"));
    }

    @Test
    void tellsWhenARequestIsRefusedAndNoMore() {
        addThree("a");
        var unused = quarantine.acquit("a");
        assertEquals(2, events.size());
        assertTrue(events.get(0).startsWith("event=quarantined content=a route=read crashes=3"));
        assertTrue(events.get(1).startsWith("event=quarantine_ended content=a"));
    }
}
