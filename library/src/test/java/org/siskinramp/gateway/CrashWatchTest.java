package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.siskinramp.request.Answer;
import org.siskinramp.time.VirtualTime;

/** Servers end under one request, beside many that stand there by chance. */
class CrashWatchTest {

    private static final String FATAL = "fatal";
    private final CrashWorld world = new CrashWorld();
    private final VirtualTime time = world.time();
    private final Gateway gateway = world.gateway();

    private ModelServers.Model publish(String name) {
        return world.publish(name);
    }

    private CompletableFuture<Answer> send(String content) {
        return world.send(content);
    }

    private List<String> crashes(String content) {
        return world.crashes(content);
    }

    @Test
    void namesTheRequestsUnderWhichAServerEnded() {
        publish("a").endOn(FATAL);
        var unused = send("beside");
        time.advance(20);
        unused = send(FATAL);
        time.advance(500);
        assertEquals(1, crashes(FATAL).size());
        assertEquals(1, crashes("beside").size());
    }

    @Test
    void aConnectionThatBreaksOnAServerThatLivesNamesNone() {
        publish("a").behave(ModelServers.Behaviour.LOSE_ANSWERS);
        var unused = send(FATAL);
        time.advance(5_000);
        assertEquals(0, crashes(FATAL).size());
    }

    @Test
    void excusesWhatAnotherServerRanToItsEndJustBefore() {
        ModelServers.Model server = publish("a");
        var unused = send("popular");
        time.advance(300);
        server.endOn(FATAL);
        unused = send("popular");
        time.advance(20);
        unused = send(FATAL);
        time.advance(500);
        assertEquals(0, crashes("popular").size());
        assertEquals(1, crashes(FATAL).size());
    }

    /** A server fails requests whose time ended in its queue, which it did not begin. */
    @Test
    void aFailureClearsNothing() {
        ModelServers.Model server = publish("a").behave(ModelServers.Behaviour.FAIL);
        var unused = send(FATAL);
        time.advance(300);
        server.behave(ModelServers.Behaviour.ANSWER).endOn(FATAL);
        unused = send(FATAL);
        time.advance(500);
        assertEquals(1, crashes(FATAL).size());
    }

    @Test
    void aNewStartProvesThatTheServerEnded() {
        ModelServers.Model server = publish("a").endOn(FATAL);
        var unused = send(FATAL);
        time.advance(10);
        server.startAgain();
        gateway.put(server.entry());
        assertEquals(1, crashes(FATAL).size());
    }

    @Test
    void aServerThatWasLeavingMayEndUnderAnyRequest() {
        ModelServers.Model server = publish("a");
        var unused = send("beside");
        time.advance(20);
        gateway.put(server.leave().entry());
        server.end();
        time.advance(500);
        assertEquals(0, crashes("beside").size());
    }
}
