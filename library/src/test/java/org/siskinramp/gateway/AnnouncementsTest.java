package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.VirtualTime;

/** Servers announce their end or ask for a pause in their answers, under steady requests. */
class AnnouncementsTest {

    private static final long PAUSE = 3_000;
    private static final long GAP = 40;

    private final CrashWorld world = new CrashWorld();
    private final VirtualTime time = world.time();
    private final List<CompletableFuture<Answer>> answers = new ArrayList<>();

    private void sendFor(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += GAP) {
            answers.add(world.send("content-" + answers.size()));
            time.advance(GAP);
        }
    }

    private ResultException refusal() {
        CompletableFuture<Answer> answer = world.send("refused");
        assertTrue(answer.isCompletedExceptionally(), "refused at once");
        return ResultException.from(assertThrows(CompletionException.class, answer::join));
    }

    private long eventsNamed(String name) {
        return world.events().stream().filter(line -> line.startsWith("event=" + name)).count();
    }

    private void assertAllAnswered() {
        time.advance(1_000);
        answers.forEach(answer -> assertEquals(200, answer.join().status()));
    }

    @Test
    void aServerThatAnnouncesItsEndGetsNothingNew() {
        ModelServers.Model ending = world.publish("a");
        world.publish("b");
        sendFor(1_000);
        ending.announceEnd();
        sendFor(300);
        long noticed = time.monotonicMilliseconds();
        sendFor(5_000);
        assertEquals(0, ending.arrivalsAfter(noticed));
        assertAllAnswered();
        assertEquals(1, eventsNamed("server_departing"));
    }

    /** The store may lag, lose the entry and show it again. */
    @Test
    void whatAServerAnnouncedOutlivesItsEntry() {
        ModelServers.Model ending = world.publish("a").announceEnd();
        world.publish("b");
        sendFor(500);
        long noticed = time.monotonicMilliseconds();
        world.gateway().put(ending.entry());
        sendFor(500);
        world.gateway().remove("a", 0);
        world.gateway().tick();
        sendFor(2_000);
        world.gateway().put(ending.entry());
        sendFor(2_000);
        assertEquals(0, ending.arrivalsAfter(noticed));
    }

    @Test
    void aNewStartOfAServerThatAnnouncedItsEndIsFree() {
        ModelServers.Model ending = world.publish("a").announceEnd();
        world.publish("b");
        sendFor(500);
        ending.startAgain();
        world.gateway().put(ending.entry());
        long started = time.monotonicMilliseconds();
        sendFor(1_000);
        assertTrue(ending.arrivalsAfter(started) > 0);
    }

    @Test
    void ifAllServersAnnouncedTheirEndCallersAreRefusedAtOnce() {
        world.publish("a").announceEnd();
        sendFor(500);
        assertFalse(refusal().retryAfterMilliseconds().isEmpty());
    }

    @Test
    void aServerThatWantsAPauseGetsNeitherRequestsNorProbes() {
        ModelServers.Model pausing = world.publish("a");
        world.publish("b");
        sendFor(1_000);
        pausing.askForPause(PAUSE);
        while (eventsNamed("server_paused") == 0) {
            sendFor(GAP);
        }
        pausing.askForPause(-1);
        time.advance(5);
        long asked = time.monotonicMilliseconds();
        int probed = pausing.probed();
        sendFor(PAUSE - 100);
        assertEquals(0, pausing.arrivalsAfter(asked));
        assertEquals(probed, pausing.probed());
        sendFor(3_000);
        assertTrue(pausing.arrivalsAfter(asked) > 0);
        assertAllAnswered();
    }

    @Test
    void aPauseEndsWithOneRequestAtATime() {
        ModelServers.Model pausing = world.publish("a").askForPause(PAUSE);
        var unused = world.send("first");
        time.advance(100);
        pausing.askForPause(-1);
        world.publish("b");
        long asked = time.monotonicMilliseconds();
        sendFor(PAUSE - 500);
        List<Integer> running = new ArrayList<>();
        while (pausing.arrivalsAfter(asked) == 0) {
            sendFor(GAP);
        }
        for (int step = 0; step < 20; step++) {
            sendFor(GAP);
            running.add(pausing.running());
        }
        assertTrue(running.stream().allMatch(count -> count <= 1), "running " + running);
    }

    @Test
    void theLatestEndOfSeveralPausesCounts() {
        ModelServers.Model pausing = world.publish("a").askForPause(PAUSE);
        var unused = world.send("first");
        unused = world.send("second");
        time.advance(1);
        pausing.askForPause(100);
        time.advance(100);
        long left = refusal().retryAfterMilliseconds().orElseThrow();
        assertTrue(left > PAUSE - 500, "left " + left);
    }

    @Test
    void ifAllServersPauseCallersAreRefusedAtOnceUntilThen() {
        world.publish("a").askForPause(PAUSE);
        world.publish("b").askForPause(PAUSE);
        sendFor(100);
        List<Long> told = new ArrayList<>();
        for (int caller = 0; caller < 20; caller++) {
            told.add(refusal().retryAfterMilliseconds().orElseThrow());
        }
        assertTrue(told.stream().allMatch(each -> each > PAUSE - 500), "told " + told);
        assertTrue(told.stream().allMatch(each -> each < PAUSE + 1_500), "told " + told);
        assertTrue(told.stream().distinct().count() > 5, "told " + told);
    }
}
