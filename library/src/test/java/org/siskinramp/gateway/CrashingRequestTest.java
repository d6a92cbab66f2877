package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** A request that ends each server that runs it comes again every few hundred milliseconds. */
class CrashingRequestTest {

    private static final String FATAL = "fatal";
    private static final long AWAY_MILLISECONDS = 2_000;
    private static final long GAP_MILLISECONDS = 350;
    private static final int ENDS = 3;

    private final CrashWorld world = new CrashWorld();

    @BeforeEach
    void publish() {
        for (int number = 0; number < 12; number++) {
            world.publish("server-" + number).endOn(FATAL);
        }
    }

    private int runs() {
        return world.servers().all().stream().mapToInt(ModelServers.Model::runs).sum();
    }

    private void sendCopies(int copies) {
        for (int copy = 0; copy < copies; copy++) {
            var unused = world.send(FATAL);
            world.restartEnded(AWAY_MILLISECONDS);
            world.time().advance(GAP_MILLISECONDS);
        }
    }

    @Test
    void isRefusedOnceThreeServersHaveEnded() {
        sendCopies(30);
        assertTrue(runs() <= ENDS + 1, "servers that ended: " + runs());
    }

    /** A copy that reaches a silent server holds its caller for the whole time of the request. */
    @ParameterizedTest
    @CsvSource({"CUTS, 8", "SILENT, 9"})
    void isRefusedHoweverTheServersThatEndedAppear(ModelServers.End end, int ends) {
        world.servers().all().forEach(server -> server.endsAs(end));
        sendCopies(60);
        assertTrue(runs() <= ends, "servers that ended: " + runs());
    }

    /** Nothing tells it from the others of its route, but it is not sent to a second server. */
    @Test
    void reachesOneServerEachTimeIfItsBodyChangesEachTime() {
        int copies = 30;
        for (int copy = 0; copy < copies; copy++) {
            var unused = world.send(FATAL + copy);
            world.restartEnded(AWAY_MILLISECONDS);
            world.time().advance(GAP_MILLISECONDS);
        }
        assertTrue(runs() <= copies + ENDS, "servers that ended: " + runs());
    }

    @Test
    void isRefusedAsNotRunAndToldToStayAway() {
        sendCopies(10);
        int before = runs();
        CompletableFuture<Answer> answer = world.send(FATAL);
        assertTrue(answer.isCompletedExceptionally(), "refused at once");
        ResultException refusal =
                ResultException.from(assertThrows(CompletionException.class, answer::join));
        assertEquals(ResultCode.QUARANTINED, refusal.code());
        assertTrue(refusal.retryAfterMilliseconds().orElse(0) >= 1_000);
        assertEquals(before, runs());
    }

    @Test
    void doesNotTakeOtherRequestsWithIt() {
        for (int copy = 0; copy < 10; copy++) {
            var unused = world.send("beside");
            world.time().advance(10);
            sendCopies(1);
        }
        world.time().advance(5_000);
        var answer = world.send("beside");
        world.time().advance(500);
        assertEquals(200, answer.join().status());
    }
}
