package org.siskinramp.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.ledger.SuspectRequests;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

final class RoutingTest {

    private static final long DEADLINE_MILLISECONDS = 1_000;

    private static RoutingCell cell(int hosts, int servers, int slots) {
        return new RoutingCell(hosts, servers, slots, 7, RoutingOptions.builder().build());
    }

    private static ResultCode codeOf(RequestRun run) {
        return ResultException.from(run.answer().handle((answer, failure) -> failure).join())
                .code();
    }

    /** Sends requests at a steady rate to all hosts in turn. */
    private static List<RequestRun> load(
            RoutingCell cell, int perSecond, long milliseconds, RequestKind kind) {
        List<RequestRun> runs = new ArrayList<>();
        List<String> hosts = List.copyOf(cell.hosts.keySet());
        long gap = 1_000L / perSecond;
        for (long at = 0; at < milliseconds; at += gap) {
            long turn = at / gap;
            cell.time.schedule(
                    at,
                    () ->
                            runs.add(
                                    cell.send(
                                            hosts.get((int) (turn % hosts.size())),
                                            kind,
                                            "/portal/" + turn,
                                            DEADLINE_MILLISECONDS)));
        }
        cell.time.advance(milliseconds + 2 * DEADLINE_MILLISECONDS);
        return runs;
    }

    private static long answered(List<RequestRun> runs) {
        return runs.stream().filter(run -> !run.answer().isCompletedExceptionally()).count();
    }

    @Test
    void requestIsAnsweredOnceByAServer() {
        RoutingCell cell = cell(3, 3, 4);
        cell.time.advance(100);
        RequestRun run = cell.send("entry-0", RoutingCell.ORDER, "/portal/a", 500);
        cell.time.advance(500);
        assertEquals(200, run.answer().join().status());
        assertEquals(1, cell.servers.runsOf(run.request().key()));
    }

    @Test
    void noServerEverHasMoreInProgressThanItsSlots() {
        RoutingCell cell = cell(5, 6, 4);
        cell.time.advance(3_000);
        List<RequestRun> runs = load(cell, 1_000, 5_000, RoutingCell.READ);
        assertEquals(List.of(), cell.servers.overloads());
        assertTrue(runs.stream().allMatch(run -> run.answer().isDone()));
        assertTrue(answered(runs) > runs.size() * 0.9, "answered " + answered(runs));
    }

    @Test
    void coldServersAreWarmedWithoutOverload() {
        RoutingCell cell = cell(5, 6, 4);
        for (int index = 1; index <= 6; index++) {
            cell.servers.server("server-" + index).bearsWhenCold(1, 20);
        }
        List<RequestRun> runs = load(cell, 200, 10_000, RoutingCell.READ);
        assertEquals(List.of(), cell.servers.overloads());
        assertTrue(answered(runs) > runs.size() * 0.9, "answered " + answered(runs));
    }

    @Test
    void restartedServerIsTreatedAsColdWhenItsConnectionsBreak() {
        RoutingCell cell = cell(3, 4, 4);
        load(cell, 300, 4_000, RoutingCell.READ);
        cell.servers.overloads().clear();
        cell.servers.server("server-1").bearsWhenCold(1, 20);
        cell.servers.server("server-1").setDown(true);
        cell.time.schedule(300, () -> cell.servers.server("server-1").setDown(false));
        load(cell, 300, 8_000, RoutingCell.READ);
        assertEquals(List.of(), cell.servers.overloads());
        int answers = cell.servers.server("server-1").answers();
        assertTrue(answers > 100, "answers " + answers);
        assertEquals(4, cell.judgedAllowance("server-1"));
    }

    @Test
    void availabilityZoneTakenOutGetsNoNewWork() {
        RoutingCell cell = cell(3, 6, 4);
        load(cell, 300, 3_000, RoutingCell.READ);
        cell.setAvailabilityZone("zone-2", ServiceState.OUT);
        long outAt = cell.time.monotonicMilliseconds();
        List<RequestRun> runs = load(cell, 300, 2_000, RoutingCell.READ);
        assertTrue(cell.servers.server("server-1").lastNewWorkAt() <= outAt + 2);
        assertEquals(runs.size(), answered(runs));
    }

    /**
     * Sends 50 requests a second, and counts those of each server of a zone in 6 s after its
     * return.
     */
    private static Map<String, Integer> answersOfAZoneThatIsBack(RoutingCell cell) {
        load(cell, 50, 3_000, RoutingCell.READ);
        cell.setAvailabilityZone("zone-2", ServiceState.OUT);
        load(cell, 50, 7_000, RoutingCell.READ);
        cell.setAvailabilityZone("zone-2", ServiceState.IN);
        Map<String, Integer> answers = new HashMap<>();
        cell.configuration.backendServersOf("portal").stream()
                .filter(server -> server.availabilityZone().equals("zone-2"))
                .map(BackendServer::name)
                .forEach(name -> answers.put(name, -cell.servers.server(name).answers()));
        load(cell, 50, 6_000, RoutingCell.READ);
        answers.replaceAll((name, before) -> before + cell.servers.server(name).answers());
        return answers;
    }

    @Test
    void serversOfAZoneThatIsBackGetAThirdOfTheirShareAtOnce() {
        for (int seed = 1; seed <= 10; seed++) {
            RoutingCell cell = new RoutingCell(3, 6, 4, seed, RoutingOptions.builder().build());
            Map<String, Integer> answers = answersOfAZoneThatIsBack(cell);
            assertEquals(2, answers.size());
            for (int count : answers.values()) {
                assertTrue(count >= 300 / 6 / 3, "seed " + seed + ": answers " + answers);
            }
        }
    }

    /**
     * Only the host that holds its first slot may send to the server that is back. It has nearer
     * servers that are free and as fast, and should give half of an even share of its requests.
     */
    @Test
    void serverThatIsBackIsTriedThoughNearerOnesAreFree() {
        for (int seed = 1; seed <= 10; seed++) {
            RoutingCell cell =
                    new RoutingCell(4, 3, 4, seed, RoutingOptions.builder().build(), random -> 20);
            Map<String, Integer> answers = answersOfAZoneThatIsBack(cell);
            assertEquals(1, answers.size());
            for (int count : answers.values()) {
                assertTrue(count >= 300 / 4 / 3 / 2, "seed " + seed + ": answers " + answers);
            }
        }
    }

    @Test
    void leavingServerGetsNoNewWorkAndRequestsGoElsewhere() {
        RoutingCell cell = cell(3, 6, 4);
        load(cell, 300, 3_000, RoutingCell.ORDER);
        cell.servers.server("server-1").setLeaving(true);
        List<RequestRun> runs = load(cell, 300, 2_000, RoutingCell.ORDER);
        assertEquals(runs.size(), answered(runs));
        assertTrue(runs.stream().allMatch(run -> cell.servers.runsOf(run.request().key()) == 1));
    }

    @Test
    void readThatMetASilentConnectionIsAnsweredThoughAllKeptOnesAreSilent() {
        RoutingCell cell = cell(3, 6, 4);
        load(cell, 300, 3_000, RoutingCell.READ);
        cell.servers.silenceKeptConnections();
        RequestRun run = cell.send("entry-0", RoutingCell.READ, "/portal/a", 4_000);
        cell.time.advance(4_100);
        assertEquals(200, run.answer().join().status());
    }

    @Test
    void repeatedLoanMessagesGiveNoSlotToTwoHosts() {
        RoutingCell cell = cell(4, 8, 4);
        cell.repeatsMessages = true;
        load(cell, 500, 3_000, RoutingCell.READ);
        for (int at = 0; at < 3_000; at += 2) {
            cell.time.schedule(
                    at, () -> cell.send("entry-0", RoutingCell.READ, "/portal/a", 1_000));
        }
        cell.time.advance(5_000);
        assertEquals(List.of(), cell.servers.overloads());
    }

    @Test
    void hostWithTwiceTheLoadBorrowsSlots() {
        RoutingCell cell = cell(4, 8, 4);
        load(cell, 500, 3_000, RoutingCell.READ);
        List<RequestRun> runs = new ArrayList<>();
        for (int at = 0; at < 6_000; at += 2) {
            cell.time.schedule(
                    at, () -> runs.add(cell.send("entry-0", RoutingCell.READ, "/portal/a", 1_000)));
        }
        cell.time.advance(8_000);
        assertEquals(runs.size(), answered(runs));
        assertEquals(List.of(), cell.servers.overloads());
    }

    @Test
    void withoutBorrowingTheSameLoadIsRefused() {
        RoutingCell cell =
                new RoutingCell(
                        4, 8, 4, 7, RoutingOptions.builder().loanMessagesPerSecond(0).build());
        load(cell, 500, 3_000, RoutingCell.READ);
        List<RequestRun> runs = new ArrayList<>();
        for (int at = 0; at < 6_000; at += 2) {
            cell.time.schedule(
                    at, () -> runs.add(cell.send("entry-0", RoutingCell.READ, "/portal/a", 1_000)));
        }
        cell.time.advance(8_000);
        assertTrue(answered(runs) < runs.size());
    }

    @Test
    void nothingIsSentWithoutAuthority() {
        RoutingCell cell = cell(3, 3, 4);
        cell.time.advance(2_000);
        cell.authorityUntil = 0;
        RequestRun run = cell.send("entry-0", RoutingCell.ORDER, "/portal/a", 500);
        cell.time.advance(1_000);
        assertEquals(0, cell.servers.runsOf(run.request().key()));
        assertEquals(ResultCode.DEADLINE_PASSED, codeOf(run));
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        RoutingCell cell = cell(1, 1, 1);
        cell.time.advance(1_000);
        for (int count = 0; count < 30; count++) {
            cell.send("entry-0", RoutingCell.READ, "/portal/a", 100);
        }
        RequestRun late = cell.send("entry-0", RoutingCell.READ, "/portal/b", 100);
        assertTrue(late.answer().isCompletedExceptionally());
        assertEquals(ResultCode.DEADLINE_UNREACHABLE, codeOf(late));
    }

    @Test
    void nonIdempotentRequestIsNotSentAgainAfterABrokenConnection() {
        RoutingCell cell = cell(1, 3, 1);
        for (int index = 1; index <= 3; index++) {
            cell.servers.server("server-" + index).crashesOn("/portal/crash");
        }
        cell.time.advance(1_000);
        RequestRun run = cell.send("entry-0", RoutingCell.ORDER, "/portal/crash", 1_000);
        cell.time.advance(2_000);
        assertEquals(ResultCode.OUTCOME_UNKNOWN, codeOf(run));
        assertEquals(1, cell.servers.runsOf(run.request().key()));
    }

    @Test
    void requestThatStopsAServerIsReportedOnceItsNewStartIsSeen() {
        RoutingCell cell = cell(1, 3, 1);
        cell.servers.server("server-1").crashesOn("/portal/crash");
        cell.servers.server("server-2").crashesOn("/portal/crash");
        cell.servers.server("server-3").crashesOn("/portal/crash");
        load(cell, 50, 1_000, RoutingCell.READ);
        cell.send("entry-0", RoutingCell.ORDER, "/portal/crash", 1_000);
        cell.time.advance(2_000);
        assertEquals(List.of("hash-of-/portal/crash"), cell.stops);
    }

    @Test
    void serverThatFailsFastGetsLittle() {
        RoutingCell cell = cell(3, 6, 4);
        load(cell, 300, 3_000, RoutingCell.READ);
        cell.servers.server("server-1").setFailsFast(true);
        int before = cell.servers.server("server-1").answers();
        List<RequestRun> runs = load(cell, 300, 4_000, RoutingCell.READ);
        long failures =
                runs.stream()
                        .filter(run -> !run.answer().isCompletedExceptionally())
                        .filter(run -> run.answer().join().status() == 500)
                        .count();
        assertTrue(cell.servers.server("server-1").answers() - before < 100);
        assertTrue(failures < 20, "failures " + failures);
    }

    @Test
    void idleServersAreProbedOnceASecondWhetherColdOrWarm() {
        RoutingCell cell = cell(5, 6, 4);
        cell.time.advance(10_000);
        assertFalse(cell.servers.probes() > 6 * 10, "probes " + cell.servers.probes());
    }

    @Test
    void suspectIsRefusedUntilAServerIsIsolatedAndThenRunsAlone() {
        RoutingCell cell = cell(2, 6, 4);
        load(cell, 500, 6_000, RoutingCell.READ);
        cell.suspects.get("entry-1").serverStopped("hash-of-/portal/suspect", "server-9");
        cell.time.advance(10);
        RequestRun refused = cell.send("entry-0", RoutingCell.READ, "/portal/suspect", 1_000);
        assertEquals(ResultCode.DEADLINE_UNREACHABLE, codeOf(refused));
        assertEquals(2_151, retryAfter(refused));
        cell.time.schedule(
                retryAfter(refused),
                () -> cell.send("entry-0", RoutingCell.READ, "/portal/suspect", 1_000));
        List<RequestRun> others = load(cell, 500, 3_000, RoutingCell.READ);
        assertEquals(1, cell.servers.mostInProgressWith("/portal/suspect"));
        assertFalse(cell.suspects.get("entry-0").mustRunAlone("hash-of-/portal/suspect"));
        assertEquals(others.size(), answered(others));
        assertEquals(List.of(), cell.servers.overloads());
    }

    @Test
    void withoutSuspicionTheSameRequestRunsBesideOthers() {
        RoutingCell cell = cell(2, 6, 4);
        load(cell, 500, 6_000, RoutingCell.READ);
        for (int at = 0; at < 2_000; at += 100) {
            cell.time.schedule(
                    at, () -> cell.send("entry-0", RoutingCell.READ, "/portal/suspect", 1_000));
        }
        load(cell, 500, 2_000, RoutingCell.READ);
        assertTrue(cell.servers.mostInProgressWith("/portal/suspect") > 1);
    }

    @Test
    void guiltyRequestIsQuarantinedAndBystandersAreNot() {
        RoutingCell cell = cell(2, 6, 4);
        load(cell, 500, 6_000, RoutingCell.READ);
        for (int index = 1; index <= 6; index++) {
            cell.servers.server("server-" + index).crashesOn("/portal/crash");
        }
        cell.time.schedule(
                500, () -> cell.send("entry-0", RoutingCell.ORDER, "/portal/crash", 1_000));
        load(cell, 500, 1_000, RoutingCell.READ);
        assertTrue(cell.stops.size() > 1, "bystanders: " + cell.stops);
        for (int at = 0; at < 20_000; at += 250) {
            cell.time.schedule(at, () -> resend(cell));
        }
        load(cell, 300, 20_000, RoutingCell.READ);
        for (SuspectRequests suspects : cell.suspects.values()) {
            assertTrue(suspects.isQuarantined("hash-of-/portal/crash"));
            cell.stops.stream()
                    .filter(hash -> !hash.equals("hash-of-/portal/crash"))
                    .forEach(hash -> assertFalse(suspects.isQuarantined(hash), hash));
        }
        assertEquals(2, cell.stops.stream().filter("hash-of-/portal/crash"::equals).count());
    }

    /** Sends the guilty request and its first bystander again, as an entry host would. */
    private static void resend(RoutingCell cell) {
        for (String hash : List.copyOf(cell.stops)) {
            if (!cell.suspects.get("entry-1").isQuarantined(hash)) {
                String target = hash.substring("hash-of-".length());
                cell.send("entry-1", RoutingCell.ORDER, target, 1_000);
            }
        }
    }

    private static long retryAfter(RequestRun run) {
        return ResultException.from(run.answer().handle((answer, failure) -> failure).join())
                .retryAfterMilliseconds()
                .orElse(0);
    }
}
