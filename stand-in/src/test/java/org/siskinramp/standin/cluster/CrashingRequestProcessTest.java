package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskinramp.adapter.Main;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.store.StoreFault;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/**
 * Callers repeatedly send to all hosts a request that crashes every backend server that runs it.
 * Hosts must quarantine it, so that it does not crash one server after another.
 */
class CrashingRequestProcessTest {

    private static final int HOSTS = 4;
    private static final int SERVERS = 12;
    private static final int SLOTS = 4;
    private static final long SERVICE_TIME_MILLISECONDS = 100;
    private static final long RESTART_DELAY_MILLISECONDS = 2_000;
    private static final String CRASHING_PATH = "/read/crash";
    private static final long REQUEST_INTERVAL_MILLISECONDS = 350;

    /**
     * Requirement of the operators: within this time all hosts know a request that crashed three
     * servers.
     */
    private static final long PROPAGATION_MILLISECONDS = 3_000;

    private static final int CRASHES_UNTIL_QUARANTINE = 3;
    private static final int REFUSED_STATUS = 503;

    /**
     * Requirement of the operators: at most this many copies reach servers after that time, over
     * all hosts.
     */
    private static final int MAXIMUM_LATE_ARRIVALS = 3;

    @TempDir private Path directory;

    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final List<UpstreamStandIn> servers = new ArrayList<>();
    private final List<ProgramProcess> gateways = new ArrayList<>();
    private final List<TestClient> callers = new ArrayList<>();
    private final List<Long> arrivalTimes = new CopyOnWriteArrayList<>();
    private final Map<String, List<Long>> arrivalTimesByPath = new ConcurrentHashMap<>();
    private final Map<String, String> pathsByRequestId = new ConcurrentHashMap<>();
    private final Set<String> arrivedRequestIds = ConcurrentHashMap.newKeySet();
    private final Map<String, CompletableFuture<Integer>> crashingAnswers = new LinkedHashMap<>();
    private final List<CompletableFuture<Integer>> ordinaryAnswers = new ArrayList<>();
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        store.put("op", "config", SampleDeployment.configuration(1));
        for (int number = 0; number < SERVERS; number++) {
            UpstreamStandIn server =
                    new UpstreamStandIn(
                            "i-" + number,
                            "desk",
                            SoakDeployment.zone(number),
                            SLOTS,
                            SERVICE_TIME_MILLISECONDS,
                            store);
            server.crashOnPathPrefix(
                    CRASHING_PATH,
                    RESTART_DELAY_MILLISECONDS,
                    requestId -> {
                        arrivedRequestIds.add(requestId);
                        arrivalTimes.add(nowMilliseconds());
                        arrivalTimesByPath
                                .computeIfAbsent(
                                        pathsByRequestId.get(requestId),
                                        path -> new CopyOnWriteArrayList<>())
                                .add(nowMilliseconds());
                    });
            servers.add(server);
        }
        for (int host = 0; host < HOSTS; host++) {
            gateways.add(launch(host));
            callers.add(null);
        }
        for (int host = 0; host < HOSTS; host++) {
            awaitServing(host);
        }
    }

    @AfterEach
    void stop() {
        gateways.forEach(ProgramProcess::close);
        servers.forEach(UpstreamStandIn::close);
        store.close();
    }

    private ProgramProcess launch(int host) throws IOException {
        return GatewayProcesses.launch(directory, host, SoakDeployment.zone(host), store.address());
    }

    private void awaitServing(int host) throws InterruptedException {
        String port = gateways.get(host).await("started", "caller_port");
        callers.set(host, new TestClient("localhost:" + port));
        TestClient.await(() -> send(host, "/read/calm").join() == 200);
    }

    private static long nowMilliseconds() {
        return System.nanoTime() / 1_000_000;
    }

    private CompletableFuture<Integer> send(int host, String path) {
        String requestId = "request-" + ++requestCount;
        pathsByRequestId.put(requestId, path);
        return callers.get(host)
                .send("GET", path, "", "X-Siskinramp-Request-Id", requestId)
                .thenApply(answer -> answer.statusCode());
    }

    /**
     * Sends the crashing request to the hosts in turn, and with each copy an ordinary request to
     * every host.
     */
    private void sendCrashingRequestFor(long milliseconds) throws InterruptedException {
        long end = nowMilliseconds() + milliseconds;
        for (int turn = 0; nowMilliseconds() < end; turn++) {
            CompletableFuture<Integer> answer = send(turn % HOSTS, CRASHING_PATH);
            crashingAnswers.put("request-" + requestCount, answer);
            for (int host = 0; host < HOSTS; host++) {
                ordinaryAnswers.add(send(host, "/read/calm-" + requestCount));
            }
            Thread.sleep(REQUEST_INTERVAL_MILLISECONDS);
        }
    }

    private void assertQuarantined(String when) {
        assertQuarantined(when, arrivalTimes);
    }

    private static void assertQuarantined(String when, List<Long> arrivalTimes) {
        assertTrue(
                arrivalTimes.size() >= CRASHES_UNTIL_QUARANTINE,
                when + ": arrivals " + arrivalTimes.size());
        long quarantinedAt =
                arrivalTimes.get(CRASHES_UNTIL_QUARANTINE - 1) + PROPAGATION_MILLISECONDS;
        long lateArrivals = arrivalTimes.stream().filter(at -> at > quarantinedAt).count();
        assertTrue(
                lateArrivals <= MAXIMUM_LATE_ARRIVALS,
                when
                        + ": late arrivals "
                        + lateArrivals
                        + ", arrivals after the first in ms "
                        + arrivalTimes.stream().map(at -> at - arrivalTimes.get(0)).toList());
    }

    private void assertNoQuarantineEnded() {
        for (ProgramProcess gateway : gateways) {
            List<String> endedQuarantines =
                    gateway.output()
                            .lines()
                            .filter(line -> line.contains("quarantine_ended"))
                            .toList();
            assertEquals(List.of(), endedQuarantines);
        }
    }

    /** A refusal promises that the request has not run and never will. */
    private void assertRefusedRequestsReachedNoServer() {
        crashingAnswers.forEach(
                (requestId, answer) ->
                        assertFalse(
                                answer.join() == REFUSED_STATUS
                                        && arrivedRequestIds.contains(requestId),
                                requestId + " was refused and reached a server"));
    }

    private void assertOrdinaryRequestsAreServed() {
        long served = ordinaryAnswers.stream().filter(answer -> answer.join() == 200).count();
        assertTrue(
                served >= 0.95 * ordinaryAnswers.size(),
                "served " + served + "/" + ordinaryAnswers.size());
    }

    @Test
    void aRequestThatCrashedThreeServersIsQuarantinedAtAllHosts() throws Exception {
        sendCrashingRequestFor(10_000);
        assertQuarantined("at all hosts");
        assertRefusedRequestsReachedNoServer();
        assertOrdinaryRequestsAreServed();
    }

    /** Sends several different crashing requests in turn, beside ordinary ones. */
    private void sendCrashingRequestsFor(
            long milliseconds, int contents, IntUnaryOperator hosts, LongSupplier interval)
            throws InterruptedException {
        long end = nowMilliseconds() + milliseconds;
        for (int turn = 0; nowMilliseconds() < end; turn++) {
            CompletableFuture<Integer> answer =
                    send(hosts.applyAsInt(turn), CRASHING_PATH + "-" + turn % contents);
            crashingAnswers.put("request-" + requestCount, answer);
            for (int host = 0; host < HOSTS; host++) {
                ordinaryAnswers.add(send(host, "/read/calm-" + requestCount));
            }
            Thread.sleep(interval.getAsLong());
        }
    }

    private void assertSeveralQuarantined(
            int contents, IntUnaryOperator hosts, LongSupplier interval)
            throws InterruptedException {
        sendCrashingRequestsFor(10_000, contents, hosts, interval);
        ordinaryAnswers.clear();
        sendCrashingRequestsFor(6_000, contents, hosts, interval);
        assertEquals(contents, arrivalTimesByPath.size());
        arrivalTimesByPath.forEach(CrashingRequestProcessTest::assertQuarantined);
        assertNoQuarantineEnded();
        assertRefusedRequestsReachedNoServer();
        assertOrdinaryRequestsAreServed();
    }

    @ParameterizedTest
    @CsvSource({"2, 21", "2, 31", "3, 41"})
    void severalCrashingRequestsAtRandomHostsAreQuarantined(int contents, long seed)
            throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        assertSeveralQuarantined(
                contents,
                turn -> random.nextInt(HOSTS),
                () -> random.nextLong(REQUEST_INTERVAL_MILLISECONDS));
    }

    @Test
    void twoCrashingRequestsAtSeparateHostsAreQuarantined() throws Exception {
        assertSeveralQuarantined(2, turn -> turn % HOSTS, () -> REQUEST_INTERVAL_MILLISECONDS);
    }

    @Test
    void restartedHostsQuarantineTheCrashingRequest() throws Exception {
        sendCrashingRequestFor(5_000);
        for (int host = 0; host < HOSTS; host++) {
            gateways.get(host).kill();
        }
        for (int host = 0; host < HOSTS; host++) {
            gateways.set(host, launch(host));
        }
        for (int host = 0; host < HOSTS; host++) {
            awaitServing(host);
        }
        Thread.sleep(PROPAGATION_MILLISECONDS);
        sendCrashingRequestFor(5_000);
        assertQuarantined("after a restart of all hosts");
    }

    @Test
    void hostsShareCrashesWhileTheStoreDoesNotRespond() throws Exception {
        for (int host = 0; host < HOSTS; host++) {
            int hostNumber = host;
            TestClient.await(
                    () ->
                            gateways.get(hostNumber)
                                    .output()
                                    .contains("event=hosts_counted hosts=" + HOSTS));
        }
        servers.forEach(UpstreamStandIn::keepIdentity);
        store.setFault(StoreFault.SILENT);
        sendCrashingRequestFor(8_000);
        assertQuarantined("while the store is silent");
    }

    private String runCommand(String... arguments) throws InterruptedException {
        try (ProgramProcess command =
                ProgramProcess.start(
                        directory.resolve("command-" + requestCount++ + ".log"),
                        Main.class,
                        List.of(arguments))) {
            TestClient.await(() -> !command.isAlive());
            return command.output();
        }
    }

    @Test
    void anOperatorSeesAndReleasesIt() throws Exception {
        sendCrashingRequestFor(3_000);
        String settings = GatewayProcesses.settings(directory, 0).toString();
        String listed = runCommand("quarantine", "list", settings);
        assertTrue(listed.contains("refused=true"), listed);
        assertEquals(REFUSED_STATUS, send(0, CRASHING_PATH).join());
        String content =
                listed.replaceAll(
                        "(?s).*content=(\\S+) route=read crashes=\\d+ refused=true.*", "$1");
        String released = runCommand("quarantine", "release", content, settings);
        assertTrue(released.contains("event=released content=" + content), released);
        TestClient.await(() -> send(0, CRASHING_PATH).join() != REFUSED_STATUS);
        assertTrue(runCommand("quarantine", "release", "none", settings).contains("event=failed"));
    }

    @Test
    void otherRequestsOfTheSameRouteAreNotQuarantined() throws Exception {
        sendCrashingRequestFor(4_000);
        assertEquals(200, send(0, "/read/crush").join());
    }
}
