package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.GatewayFeed;
import org.siskinramp.follow.ServerChange;
import org.siskinramp.log.RequestMetricsRecorder;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.route.ServiceShare;
import org.siskinramp.time.VirtualTime;

class GatewayTest {

    private static final Route READ = route("read", true, 2);
    private static final Route WRITE = route("write", false, 0);
    private static final int HOSTS = 2;

    /** After this time a started host has its full share of the retry budget. */
    private static final long RETRY_WINDOW_MILLISECONDS = 10_000;

    private final VirtualTime time = new VirtualTime();
    private final SimulatedServers servers = new SimulatedServers(time, 7);
    private final Gateway gateway = newGateway(1);
    private int requests;

    private Gateway newGateway(long seed) {
        Gateway created =
                new Gateway(
                        new GatewayEnvironment(
                                "zone-1",
                                time,
                                time,
                                servers,
                                event -> {},
                                (counter, amount) -> {},
                                RequestMetricsRecorder.NONE,
                                RandomSource.XO_RO_SHI_RO_128_PP.create(seed)),
                        GatewayOptions.builder().retryRatio(0.2).retrySlack(4).build(),
                        HOSTS);
        created.updateRoutes(
                new RouteTable(
                        1,
                        List.of(READ, WRITE),
                        List.of(new RoutedService("s", "/health", 100, 5)),
                        new CallerLimits(1_000, 1_000, 1_000, 1_000)));
        return created;
    }

    @Test
    void placesARequestOnAFreeServerOfItsOwnZone() {
        publish(servers.add("far", "zone-2", 4, 100), servers.add("near", "zone-1", 4, 100));
        CompletableFuture<Answer> answer = send(READ);
        time.advance(300);
        assertEquals(200, answer.join().status());
        assertEquals(1, servers.server("near").runs());
    }

    @Test
    void avoidsAServerThatIsCurrentlySlow() {
        publish(
                servers.add("slow", "zone-1", 4, 100).withServiceTimePercent(500),
                servers.add("fast", "zone-1", 4, 100));
        for (int request = 0; request < 10; request++) {
            sendAll(READ, 1);
            time.advance(200);
        }
        assertEquals(10, servers.server("fast").runs());
    }

    /** The first probe may fail because the server process is still starting. */
    @Test
    void usesAServerAgainWhoseFirstProbeFailed() {
        SimulatedServers.SimulatedServer late = servers.add("late", "zone-1", 4, 20);
        late.withBehaviour(SimulatedServers.Behaviour.REFUSE_CONNECTIONS);
        publish(late, servers.add("other", "zone-1", 4, 20));
        sendAll(READ, 1);
        time.advance(100);
        late.withBehaviour(SimulatedServers.Behaviour.ANSWER);
        time.advance(2_000);
        for (int request = 0; request < 100; request++) {
            sendAll(READ, 1);
            time.advance(50);
        }
        assertTrue(late.runs() >= 20, "requests on the recovered server: " + late.runs());
    }

    @Test
    void usesAnotherZoneOnceItsOwnIsFull() {
        publish(servers.add("near", "zone-1", 1, 400), servers.add("far", "zone-2", 4, 100));
        List<CompletableFuture<Answer>> answers = sendAll(READ, 4);
        time.advance(500);
        assertTrue(answers.stream().allMatch(CompletableFuture::isDone));
        assertEquals(3, servers.server("far").runs());
    }

    @Test
    void neverExceedsTheSlotsOfAServer() {
        publish(servers.add("a", "zone-1", 4, 100), servers.add("b", "zone-1", 4, 100));
        for (int step = 0; step < 200; step++) {
            sendAll(READ, 2);
            time.advance(10);
        }
        assertTrue(servers.server("a").maximumOccupied() <= 4);
        assertTrue(servers.server("b").maximumOccupied() <= 4);
    }

    @Test
    void retriesAnIdempotentRequestWhoseAnswerWasLost() {
        time.advance(RETRY_WINDOW_MILLISECONDS);
        publish(
                servers.add("lossy", "zone-1", 4, 50)
                        .withBehaviour(SimulatedServers.Behaviour.LOSE_ANSWERS));
        CompletableFuture<Answer> answer = send(READ);
        time.advance(10);
        publish(servers.add("good", "zone-1", 4, 50));
        time.advance(400);
        assertEquals(200, answer.join().status());
    }

    @Test
    void neverRetriesANonIdempotentRequestThatMayHaveRun() {
        publish(
                servers.add("lossy", "zone-1", 4, 50)
                        .withBehaviour(SimulatedServers.Behaviour.LOSE_ANSWERS),
                servers.add("far", "zone-2", 4, 50));
        CompletableFuture<Answer> answer = send(WRITE);
        time.advance(600);
        assertEquals(ResultCode.OUTCOME_UNKNOWN, codeOf(answer));
        assertEquals(0, servers.server("far").runs());
    }

    @Test
    void retriesANonIdempotentRequestThatDidNotRun() {
        time.advance(RETRY_WINDOW_MILLISECONDS);
        publish(
                servers.add("full", "zone-1", 4, 50).withBehaviour(SimulatedServers.Behaviour.SHED),
                servers.add("far", "zone-2", 4, 50));
        CompletableFuture<Answer> answer = send(WRITE);
        time.advance(600);
        assertEquals(200, answer.join().status());
    }

    @Test
    void reachesNoMoreServersThanTheRouteAllows() {
        for (int number = 0; number < 5; number++) {
            publish(
                    servers.add("shedding-" + number, "zone-1", 4, 50)
                            .withBehaviour(SimulatedServers.Behaviour.SHED));
        }
        CompletableFuture<Answer> answer = send(WRITE);
        time.advance(2_000);
        assertEquals(ResultCode.SHED, codeOf(answer));
    }

    /**
     * Callers were told to wait as if servers were full, and came back too late for the objective.
     */
    @Test
    void aCallerReturnsSoonIfServersWithFreeSlotsShedItsRequest() {
        for (int number = 0; number < 5; number++) {
            publish(
                    servers.add("shedding-" + number, "zone-1", 4, 50)
                            .withBehaviour(SimulatedServers.Behaviour.SHED));
        }
        CompletableFuture<Answer> answer = send(READ);
        time.advance(50);
        assertEquals(ResultCode.SHED, codeOf(answer));
        long delay = failureOf(answer).retryAfterMilliseconds().orElseThrow();
        assertTrue(delay <= READ.latencyObjectiveMilliseconds() / 8, "retry-after delay: " + delay);
    }

    @Test
    void refusesAtOnceWithoutAServer() {
        CompletableFuture<Answer> answer = send(READ);
        assertEquals(ResultCode.NO_BACKEND_SERVER, codeOf(answer));
        assertTrue(failureOf(answer).retryAfterMilliseconds().isPresent());
    }

    @Test
    void refusesWaitingRequestsAtOnceWhenTheLastServerLeaves() {
        publish(servers.add("a", "zone-1", 1, 400));
        List<CompletableFuture<Answer>> answers = sendAll(READ, 3);
        time.advance(30);
        publish(servers.server("a").leave());
        gateway.removeServer("a", 0);
        time.advance(1);
        assertEquals(
                2, answers.stream().filter(CompletableFuture::isCompletedExceptionally).count());
    }

    @Test
    void aServerInItsGracePeriodIsRemovedOnceItsEntryCannotHaveExpired() {
        publish(servers.add("a", "zone-1", 4, 100), servers.add("b", "zone-1", 4, 100));
        GatewayFeed feed = new GatewayFeed(gateway);
        ServerChange gone = new ServerChange("a", Optional.empty());
        feed.applyServerChanges(new Changes<>(2, false, List.of(gone)), () -> 300);
        assertEquals(2, gateway.usableServers());
        feed.applyServerChanges(new Changes<>(3, false, List.of()), () -> 60_000);
        assertEquals(1, gateway.usableServers());
    }

    @Test
    void answersByTheTimeLimitOfTheRoute() {
        publish(servers.add("a", "zone-1", 4, 50).withBehaviour(SimulatedServers.Behaviour.HANG));
        CompletableFuture<Answer> answer = send(WRITE);
        time.advance(1_100);
        assertEquals(ResultCode.TIMED_OUT, codeOf(answer));
        assertEquals(1, servers.cancelled().size());
    }

    @Test
    void cancelsTheAttemptOfACallerThatDisconnected() {
        publish(servers.add("a", "zone-1", 4, 400));
        CompletableFuture<Answer> answer = send(READ);
        time.advance(50);
        answer.cancel(false);
        time.advance(10);
        assertEquals(1, servers.cancelled().size());
        assertEquals(0, gateway.requestsInProgress());
    }

    @Test
    void aCallerThatDisconnectsWhileWaitingReachesNoServer() {
        publish(servers.add("a", "zone-1", 1, 300));
        sendAll(READ, 1);
        time.advance(20);
        send(READ).cancel(false);
        time.advance(1_000);
        assertEquals(1, servers.server("a").runs());
    }

    @Test
    void sendsNothingIntoAnEvacuatedZone() {
        publish(servers.add("a", "zone-1", 4, 50), servers.add("b", "zone-2", 4, 50));
        gateway.setEvacuatedZones(Set.of("zone-1"));
        sendAll(READ, 4);
        time.advance(500);
        assertEquals(0, servers.server("a").runs());
        assertEquals(4, servers.server("b").runs());
    }

    @Test
    void sendsNothingToAColdServerWhileAWarmOneHasCapacity() {
        publish(
                servers.add("cold", "zone-1", 4, 50).coldFor(3_000),
                servers.add("warm", "zone-2", 4, 50));
        for (int request = 0; request < 20; request++) {
            sendAll(READ, 1);
            time.advance(60);
        }
        assertEquals(0, servers.server("cold").runs());
    }

    @Test
    void allHostsTogetherStayWithinTheRateOfAColdServer() {
        publish(servers.add("cold", "zone-1", 8, 20).coldFor(10_000));
        Gateway other = newGateway(2);
        other.putServer(servers.server("cold").entry());
        for (int step = 0; step < 300; step++) {
            sendAll(READ, 1);
            var unused = handle(other, READ);
            time.advance(30);
        }
        assertTrue(servers.server("cold").maximumArrivalsInOneSecond() <= 5 * 1.5 + 5);
        assertTrue(servers.server("cold").runs() >= 20);
    }

    @Test
    void meetsTheObjectiveWhileAThirdOfTheServersIsSlow() {
        for (int number = 0; number < 12; number++) {
            publish(servers.add("server-" + number, "zone-1", 4, 100));
        }
        servers.redrawServiceTimes(0.33);
        assertTrue(shareInObjective(READ, 1_000, 0.15) >= 0.97);
    }

    @Test
    void leavesTheLastSlotFreeOnceItSlowsTheOthers() {
        for (int number = 0; number < 4; number++) {
            publish(
                    servers.add("server-" + number, "zone-1", 4, 100)
                            .withSaturatedLatencyFactor(1.7));
        }
        shareInObjective(READ, 2_000, 0.11);
        double overloaded = shareInObjective(READ, 2_000, 0.11);
        assertTrue(overloaded >= 0.9, "share in objective: " + overloaded);
    }

    /**
     * The servers can process four fifths of the requests; nine tenths of those must be in time.
     */
    @Test
    void startsOnlyRequestsThatMeetTheirObjectiveWhileAllZonesAreFull() {
        publishThreeZones();
        double served = shareInObjective(READ, 3_000, 0.6);
        assertTrue(served >= 0.9 * 0.8, "share in objective: " + served);
    }

    @Test
    void findsCapacityInAnotherZoneWhileItsOwnIsFull() {
        publishThreeZones();
        double served = shareInObjective(READ, 3_000, 0.3);
        assertTrue(served >= 0.97, "share in objective: " + served);
    }

    @Test
    void servesUrgentRequestsFirstWithoutStarvingOthersAtTwiceTheCapacity() {
        for (int number = 0; number < 4; number++) {
            publish(servers.add("server-" + number, "zone-1", 4, 100));
        }
        List<CompletableFuture<Answer>> urgent = new ArrayList<>();
        List<CompletableFuture<Answer>> plain = new ArrayList<>();
        for (int step = 0; step < 2_000; step++) {
            if (step % 10 == 0) {
                urgent.add(send(WRITE));
            }
            if (step % 4 == 0) {
                plain.add(send(READ));
            }
            time.advance(1);
        }
        time.advance(2_000);
        double served = answeredShare(plain);
        assertTrue(answeredShare(urgent) >= 0.95, "urgent: " + answeredShare(urgent));
        assertTrue(served >= 0.25, "plain: " + served);
    }

    @Test
    void requestsAreRefusedWithinTheirObjectiveWithARetryAfterDelay() {
        publish(servers.add("only", "zone-1", 2, 300));
        List<CompletableFuture<Answer>> answers = sendAll(READ, 60);
        time.advance(READ.latencyObjectiveMilliseconds());
        long refused = answers.stream().filter(CompletableFuture::isCompletedExceptionally).count();
        assertTrue(refused > 50, "refused within their objective: " + refused);
        answers.stream()
                .filter(CompletableFuture::isCompletedExceptionally)
                .forEach(
                        answer ->
                                assertTrue(failureOf(answer).retryAfterMilliseconds().isPresent()));
    }

    @Test
    void retriesOfManyFailuresStayWithinTheBudget() {
        for (int number = 0; number < 6; number++) {
            publish(
                    servers.add("lossy-" + number, "zone-1", 4, 20)
                            .withBehaviour(SimulatedServers.Behaviour.FAIL));
        }
        for (int request = 0; request < 100; request++) {
            sendAll(READ, 1);
            time.advance(20);
        }
        time.advance(1_000);
        int runs = servers.all().stream().mapToInt(SimulatedServers.SimulatedServer::runs).sum();
        assertTrue(runs <= 100 * 1.2 + 4, "runs: " + runs);
    }

    @Test
    void retriesOfAllHostsTogetherStayWithinTheBudget() {
        for (int number = 0; number < 6; number++) {
            publish(
                    servers.add("lossy-" + number, "zone-1", 4, 20)
                            .withBehaviour(SimulatedServers.Behaviour.FAIL));
        }
        gateway.updateHostCount(100);
        for (int request = 0; request < 4; request++) {
            sendAll(READ, 1);
            time.advance(500);
        }
        int runs = servers.all().stream().mapToInt(SimulatedServers.SimulatedServer::runs).sum();
        assertEquals(4, runs);
    }

    @Test
    void anOlderConfigurationNeverReplacesANewerOne() {
        gateway.updateRoutes(new RouteTable(0, List.of(), List.of(), new CallerLimits(1, 1, 1, 1)));
        assertEquals(1, gateway.routes().version());
        assertFalse(gateway.routes().find("h", "/read/").isEmpty());
    }

    /**
     * Sends requests with exponentially distributed intervals and returns the share that is
     * answered within the objective.
     */
    private double shareInObjective(Route route, int count, double requestsPerMillisecond) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        int[] inTime = new int[1];
        for (int request = 0; request < count; request++) {
            long startedAt = time.monotonicMilliseconds();
            CompletableFuture<Answer> answer = send(route);
            var unused =
                    answer.thenAccept(
                                    complete ->
                                            inTime[0] +=
                                                    time.monotonicMilliseconds() - startedAt
                                                                    <= route
                                                                            .latencyObjectiveMilliseconds()
                                                            ? 1
                                                            : 0)
                            .exceptionally(refused -> null);
            time.advance(Math.round(-Math.log(1 - random.nextDouble()) / requestsPerMillisecond));
        }
        time.advance(2_000);
        return (double) inTime[0] / count;
    }

    private static double answeredShare(List<CompletableFuture<Answer>> answers) {
        long good =
                answers.stream()
                        .filter(answer -> answer.isDone() && !answer.isCompletedExceptionally())
                        .count();
        return (double) good / answers.size();
    }

    /** Publishes servers that together can process 480 requests per second. */
    private void publishThreeZones() {
        for (int number = 0; number < 12; number++) {
            publish(servers.add("server-" + number, "zone-" + (1 + number % 3), 4, 100));
        }
    }

    private void publish(SimulatedServers.SimulatedServer... published) {
        for (SimulatedServers.SimulatedServer server : published) {
            gateway.putServer(server.entry());
        }
    }

    private List<CompletableFuture<Answer>> sendAll(Route route, int count) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int request = 0; request < count; request++) {
            answers.add(send(route));
        }
        return answers;
    }

    private CompletableFuture<Answer> send(Route route) {
        return handle(gateway, route);
    }

    private CompletableFuture<Answer> handle(Gateway receiver, Route route) {
        long now = time.monotonicMilliseconds();
        return receiver.handle(
                Request.builder()
                        .key(new RequestKey("", "request-" + requests++))
                        .service(receiver.assignService(route))
                        .kind(new RequestKind(route.name(), "*", "/", route.isIdempotent(), 1))
                        .method("GET")
                        .target("/read/x")
                        .contentHash("")
                        .arrivedMilliseconds(now)
                        .deadlineMilliseconds(now + route.timeLimitMilliseconds())
                        .build(),
                route);
    }

    private static ResultCode codeOf(CompletableFuture<Answer> answer) {
        return failureOf(answer).code();
    }

    private static ResultException failureOf(CompletableFuture<Answer> answer) {
        return ResultException.from(assertThrows(CompletionException.class, answer::join));
    }

    private static Route route(String name, boolean idempotent, int rank) {
        return Route.builder()
                .name(name)
                .host("h")
                .prefix("/" + name + "/")
                .idempotent(idempotent)
                .timeLimitMilliseconds(1_000)
                .latencyObjectiveMilliseconds(300)
                .rank(rank)
                .attemptLimit(2)
                .shares(List.of(new ServiceShare("s", 1)))
                .build();
    }
}
