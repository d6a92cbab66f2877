package org.siskinramp.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.ledger.SuspectRequests;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

final class RoutingTest {

    private static final long DEADLINE_MILLISECONDS = 1_000;

    private static RoutingCluster cluster(int hosts, int servers, int slots) {
        return new RoutingCluster(hosts, servers, slots, 7, RoutingOptions.builder().build());
    }

    private static ResultCode codeOf(RoutedRequest routed) {
        return ResultException.from(routed.answer().handle((answer, failure) -> failure).join())
                .code();
    }

    /** Sends requests at a constant rate to all hosts in turn, and waits until all have ended. */
    private static List<RoutedRequest> sendLoad(
            RoutingCluster cluster, int perSecond, long milliseconds, RequestKind kind) {
        List<RoutedRequest> requests = new ArrayList<>();
        List<String> hosts = List.copyOf(cluster.hosts.keySet());
        long intervalMilliseconds = 1_000L / perSecond;
        for (long offsetMilliseconds = 0;
                offsetMilliseconds < milliseconds;
                offsetMilliseconds += intervalMilliseconds) {
            long index = offsetMilliseconds / intervalMilliseconds;
            cluster.time.schedule(
                    offsetMilliseconds,
                    () ->
                            requests.add(
                                    cluster.send(
                                            hosts.get((int) (index % hosts.size())),
                                            kind,
                                            "/portal/" + index,
                                            DEADLINE_MILLISECONDS)));
        }
        cluster.time.advance(milliseconds + 2 * DEADLINE_MILLISECONDS);
        return requests;
    }

    private static long countAnswered(List<RoutedRequest> requests) {
        return requests.stream()
                .filter(routed -> !routed.answer().isCompletedExceptionally())
                .count();
    }

    @Test
    void requestRunsOnceAndIsAnswered() {
        RoutingCluster cluster = cluster(3, 3, 4);
        cluster.time.advance(100);
        RoutedRequest routed = cluster.send("entry-0", RoutingCluster.ORDER, "/portal/a", 500);
        cluster.time.advance(500);
        assertEquals(200, routed.answer().join().status());
        assertEquals(1, cluster.servers.runsOf(routed.request().key()));
    }

    @Test
    void noServerEverHasMoreInProgressThanItsSlots() {
        RoutingCluster cluster = cluster(5, 6, 4);
        cluster.time.advance(3_000);
        List<RoutedRequest> requests = sendLoad(cluster, 1_000, 5_000, RoutingCluster.READ);
        assertEquals(List.of(), cluster.servers.overloads());
        assertTrue(requests.stream().allMatch(routed -> routed.answer().isDone()));
        assertTrue(
                countAnswered(requests) > requests.size() * 0.9,
                "answered " + countAnswered(requests));
    }

    @Test
    void coldServersWarmUpWithoutOverload() {
        RoutingCluster cluster = cluster(5, 6, 4);
        for (int index = 1; index <= 6; index++) {
            cluster.servers.server("server-" + index).limitWhenCold(1, 20);
        }
        List<RoutedRequest> requests = sendLoad(cluster, 200, 10_000, RoutingCluster.READ);
        assertEquals(List.of(), cluster.servers.overloads());
        assertTrue(
                countAnswered(requests) > requests.size() * 0.9,
                "answered " + countAnswered(requests));
    }

    @Test
    void restartedServerIsTreatedAsColdWhenItsConnectionsBreak() {
        RoutingCluster cluster = cluster(3, 4, 4);
        sendLoad(cluster, 300, 4_000, RoutingCluster.READ);
        cluster.servers.overloads().clear();
        cluster.servers.server("server-1").limitWhenCold(1, 20);
        cluster.servers.server("server-1").setDown(true);
        cluster.time.schedule(300, () -> cluster.servers.server("server-1").setDown(false));
        sendLoad(cluster, 300, 8_000, RoutingCluster.READ);
        assertEquals(List.of(), cluster.servers.overloads());
        int answers = cluster.servers.server("server-1").answers();
        assertTrue(answers > 100, "answers " + answers);
        assertEquals(4, cluster.allowanceAtCoordinator("server-1"));
    }

    @Test
    void zoneOutOfServiceGetsNoNewRequests() {
        RoutingCluster cluster = cluster(3, 6, 4);
        sendLoad(cluster, 300, 3_000, RoutingCluster.READ);
        cluster.setAvailabilityZone("zone-2", AdministrativeState.OUT);
        long outAt = cluster.time.monotonicMilliseconds();
        List<RoutedRequest> requests = sendLoad(cluster, 300, 2_000, RoutingCluster.READ);
        assertTrue(cluster.servers.server("server-1").lastNewWorkAt() <= outAt + 2);
        assertEquals(requests.size(), countAnswered(requests));
    }

    /**
     * Takes zone-2 out of service and back in under 50 requests per second, and counts the answers
     * of each of its servers in the 6 s after its return.
     */
    private static Map<String, Integer> answersAfterZoneReturns(RoutingCluster cluster) {
        sendLoad(cluster, 50, 3_000, RoutingCluster.READ);
        cluster.setAvailabilityZone("zone-2", AdministrativeState.OUT);
        sendLoad(cluster, 50, 7_000, RoutingCluster.READ);
        cluster.setAvailabilityZone("zone-2", AdministrativeState.IN);
        Map<String, Integer> answers = new HashMap<>();
        cluster.configuration.backendServersOf("portal").stream()
                .filter(server -> server.availabilityZone().equals("zone-2"))
                .map(BackendServer::name)
                .forEach(name -> answers.put(name, -cluster.servers.server(name).answers()));
        sendLoad(cluster, 50, 6_000, RoutingCluster.READ);
        answers.replaceAll((name, before) -> before + cluster.servers.server(name).answers());
        return answers;
    }

    @Test
    void serversOfReturnedZoneGetAThirdOfTheirShareAtOnce() {
        for (int seed = 1; seed <= 10; seed++) {
            RoutingCluster cluster =
                    new RoutingCluster(3, 6, 4, seed, RoutingOptions.builder().build());
            Map<String, Integer> answers = answersAfterZoneReturns(cluster);
            assertEquals(2, answers.size());
            for (int count : answers.values()) {
                assertTrue(count >= 300 / 6 / 3, "seed " + seed + ": answers " + answers);
            }
        }
    }

    /**
     * A cold server gets requests only from the host that holds its slot 0. That host has free
     * servers in its own zone that are as fast, and still has to send the returned server at least
     * half of an even share of its requests; otherwise the server would never warm up.
     */
    @Test
    void returnedServerGetsRequestsThoughServersInTheSameZoneAreFree() {
        for (int seed = 1; seed <= 10; seed++) {
            RoutingCluster cluster =
                    new RoutingCluster(
                            4, 3, 4, seed, RoutingOptions.builder().build(), random -> 20);
            Map<String, Integer> answers = answersAfterZoneReturns(cluster);
            assertEquals(1, answers.size());
            for (int count : answers.values()) {
                assertTrue(count >= 300 / 4 / 3 / 2, "seed " + seed + ": answers " + answers);
            }
        }
    }

    @Test
    void requestsOfLeavingServerGoToOtherServers() {
        RoutingCluster cluster = cluster(3, 6, 4);
        sendLoad(cluster, 300, 3_000, RoutingCluster.ORDER);
        cluster.servers.server("server-1").setLeaving(true);
        List<RoutedRequest> requests = sendLoad(cluster, 300, 2_000, RoutingCluster.ORDER);
        assertEquals(requests.size(), countAnswered(requests));
        assertTrue(
                requests.stream()
                        .allMatch(routed -> cluster.servers.runsOf(routed.request().key()) == 1));
    }

    @Test
    void readIsRetriedOnNewConnectionWhenAllPooledConnectionsAreSilent() {
        RoutingCluster cluster = cluster(3, 6, 4);
        sendLoad(cluster, 300, 3_000, RoutingCluster.READ);
        cluster.servers.silencePooledConnections();
        RoutedRequest routed = cluster.send("entry-0", RoutingCluster.READ, "/portal/a", 4_000);
        cluster.time.advance(4_100);
        assertEquals(200, routed.answer().join().status());
    }

    @Test
    void duplicatedLoanMessagesNeverGiveASlotToTwoHosts() {
        RoutingCluster cluster = cluster(4, 8, 4);
        cluster.duplicatesMessages = true;
        sendLoad(cluster, 500, 3_000, RoutingCluster.READ);
        for (int offsetMilliseconds = 0; offsetMilliseconds < 3_000; offsetMilliseconds += 2) {
            cluster.time.schedule(
                    offsetMilliseconds,
                    () -> cluster.send("entry-0", RoutingCluster.READ, "/portal/a", 1_000));
        }
        cluster.time.advance(5_000);
        assertEquals(List.of(), cluster.servers.overloads());
    }

    @Test
    void hostWithTwiceTheLoadBorrowsSlots() {
        RoutingCluster cluster = cluster(4, 8, 4);
        sendLoad(cluster, 500, 3_000, RoutingCluster.READ);
        List<RoutedRequest> requests = new ArrayList<>();
        for (int offsetMilliseconds = 0; offsetMilliseconds < 6_000; offsetMilliseconds += 2) {
            cluster.time.schedule(
                    offsetMilliseconds,
                    () ->
                            requests.add(
                                    cluster.send(
                                            "entry-0", RoutingCluster.READ, "/portal/a", 1_000)));
        }
        cluster.time.advance(8_000);
        assertEquals(requests.size(), countAnswered(requests));
        assertEquals(List.of(), cluster.servers.overloads());
    }

    @Test
    void withoutBorrowingPartOfTheSameLoadIsRefused() {
        RoutingCluster cluster =
                new RoutingCluster(
                        4, 8, 4, 7, RoutingOptions.builder().loanMessagesPerSecond(0).build());
        sendLoad(cluster, 500, 3_000, RoutingCluster.READ);
        List<RoutedRequest> requests = new ArrayList<>();
        for (int offsetMilliseconds = 0; offsetMilliseconds < 6_000; offsetMilliseconds += 2) {
            cluster.time.schedule(
                    offsetMilliseconds,
                    () ->
                            requests.add(
                                    cluster.send(
                                            "entry-0", RoutingCluster.READ, "/portal/a", 1_000)));
        }
        cluster.time.advance(8_000);
        assertTrue(countAnswered(requests) < requests.size());
    }

    @Test
    void nothingIsSentWithoutAuthority() {
        RoutingCluster cluster = cluster(3, 3, 4);
        cluster.time.advance(2_000);
        cluster.authorityUntil = 0;
        RoutedRequest routed = cluster.send("entry-0", RoutingCluster.ORDER, "/portal/a", 500);
        cluster.time.advance(1_000);
        assertEquals(0, cluster.servers.runsOf(routed.request().key()));
        assertEquals(ResultCode.DEADLINE_PASSED, codeOf(routed));
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        RoutingCluster cluster = cluster(1, 1, 1);
        cluster.time.advance(1_000);
        for (int count = 0; count < 30; count++) {
            cluster.send("entry-0", RoutingCluster.READ, "/portal/a", 100);
        }
        RoutedRequest late = cluster.send("entry-0", RoutingCluster.READ, "/portal/b", 100);
        assertTrue(late.answer().isCompletedExceptionally());
        assertEquals(ResultCode.DEADLINE_UNREACHABLE, codeOf(late));
    }

    @Test
    void nonIdempotentRequestIsNotSentAgainAfterABrokenConnection() {
        RoutingCluster cluster = cluster(1, 3, 1);
        for (int index = 1; index <= 3; index++) {
            cluster.servers.server("server-" + index).crashesOn("/portal/crash");
        }
        cluster.time.advance(1_000);
        RoutedRequest routed =
                cluster.send("entry-0", RoutingCluster.ORDER, "/portal/crash", 1_000);
        cluster.time.advance(2_000);
        assertEquals(ResultCode.OUTCOME_UNKNOWN, codeOf(routed));
        assertEquals(1, cluster.servers.runsOf(routed.request().key()));
    }

    @Test
    void requestThatCrashesAServerIsReportedOnceTheRestartIsSeen() {
        RoutingCluster cluster = cluster(1, 3, 1);
        cluster.servers.server("server-1").crashesOn("/portal/crash");
        cluster.servers.server("server-2").crashesOn("/portal/crash");
        cluster.servers.server("server-3").crashesOn("/portal/crash");
        sendLoad(cluster, 50, 1_000, RoutingCluster.READ);
        cluster.send("entry-0", RoutingCluster.ORDER, "/portal/crash", 1_000);
        cluster.time.advance(2_000);
        assertEquals(List.of("hash-of-/portal/crash"), cluster.reportedCrashes);
    }

    @Test
    void serverThatFailsFastGetsFewRequests() {
        RoutingCluster cluster = cluster(3, 6, 4);
        sendLoad(cluster, 300, 3_000, RoutingCluster.READ);
        cluster.servers.server("server-1").setFailsFast(true);
        int before = cluster.servers.server("server-1").answers();
        List<RoutedRequest> requests = sendLoad(cluster, 300, 4_000, RoutingCluster.READ);
        long failures =
                requests.stream()
                        .filter(routed -> !routed.answer().isCompletedExceptionally())
                        .filter(routed -> routed.answer().join().status() == 500)
                        .count();
        assertTrue(cluster.servers.server("server-1").answers() - before < 100);
        assertTrue(failures < 20, "failures " + failures);
    }

    @Test
    void idleServersAreProbedOnceASecondWhetherColdOrWarm() {
        RoutingCluster cluster = cluster(5, 6, 4);
        cluster.time.advance(10_000);
        assertFalse(cluster.servers.probes() > 6 * 10, "probes " + cluster.servers.probes());
    }

    @Test
    void suspectIsRefusedUntilAServerIsIsolatedAndThenRunsAlone() {
        RoutingCluster cluster = cluster(2, 6, 4);
        sendLoad(cluster, 500, 6_000, RoutingCluster.READ);
        cluster.suspectsByHost.get("entry-1").recordCrash("hash-of-/portal/suspect", "server-9");
        cluster.time.advance(10);
        RoutedRequest refused =
                cluster.send("entry-0", RoutingCluster.READ, "/portal/suspect", 1_000);
        assertEquals(ResultCode.DEADLINE_UNREACHABLE, codeOf(refused));
        assertEquals(2_151, retryAfter(refused));
        cluster.time.schedule(
                retryAfter(refused),
                () -> cluster.send("entry-0", RoutingCluster.READ, "/portal/suspect", 1_000));
        List<RoutedRequest> others = sendLoad(cluster, 500, 3_000, RoutingCluster.READ);
        assertEquals(1, cluster.servers.peakInProgressDuring("/portal/suspect"));
        assertFalse(cluster.suspectsByHost.get("entry-0").mustRunAlone("hash-of-/portal/suspect"));
        assertEquals(others.size(), countAnswered(others));
        assertEquals(List.of(), cluster.servers.overloads());
    }

    @Test
    void requestThatIsNotSuspectedSharesItsServer() {
        RoutingCluster cluster = cluster(2, 6, 4);
        sendLoad(cluster, 500, 6_000, RoutingCluster.READ);
        for (int offsetMilliseconds = 0; offsetMilliseconds < 2_000; offsetMilliseconds += 100) {
            cluster.time.schedule(
                    offsetMilliseconds,
                    () -> cluster.send("entry-0", RoutingCluster.READ, "/portal/suspect", 1_000));
        }
        sendLoad(cluster, 500, 2_000, RoutingCluster.READ);
        assertTrue(cluster.servers.peakInProgressDuring("/portal/suspect") > 1);
    }

    @Test
    void crashingRequestIsQuarantinedAndOthersInProgressAreNot() {
        RoutingCluster cluster = cluster(2, 6, 4);
        sendLoad(cluster, 500, 6_000, RoutingCluster.READ);
        for (int index = 1; index <= 6; index++) {
            cluster.servers.server("server-" + index).crashesOn("/portal/crash");
        }
        cluster.time.schedule(
                500, () -> cluster.send("entry-0", RoutingCluster.ORDER, "/portal/crash", 1_000));
        sendLoad(cluster, 500, 1_000, RoutingCluster.READ);
        assertTrue(
                cluster.reportedCrashes.size() > 1, "reported crashes: " + cluster.reportedCrashes);
        for (int offsetMilliseconds = 0; offsetMilliseconds < 20_000; offsetMilliseconds += 250) {
            cluster.time.schedule(offsetMilliseconds, () -> resendReportedRequests(cluster));
        }
        sendLoad(cluster, 300, 20_000, RoutingCluster.READ);
        for (SuspectRequests suspects : cluster.suspectsByHost.values()) {
            assertTrue(suspects.isQuarantined("hash-of-/portal/crash"));
            cluster.reportedCrashes.stream()
                    .filter(hash -> !hash.equals("hash-of-/portal/crash"))
                    .forEach(hash -> assertFalse(suspects.isQuarantined(hash), hash));
        }
        assertEquals(
                2,
                cluster.reportedCrashes.stream().filter("hash-of-/portal/crash"::equals).count());
    }

    /** Sends again each request that was reported for a crash and is not quarantined. */
    private static void resendReportedRequests(RoutingCluster cluster) {
        for (String hash : List.copyOf(cluster.reportedCrashes)) {
            if (!cluster.suspectsByHost.get("entry-1").isQuarantined(hash)) {
                String target = hash.substring("hash-of-".length());
                cluster.send("entry-1", RoutingCluster.ORDER, target, 1_000);
            }
        }
    }

    private static long retryAfter(RoutedRequest routed) {
        return ResultException.from(routed.answer().handle((answer, failure) -> failure).join())
                .retryAfterMilliseconds()
                .orElse(0);
    }
}
