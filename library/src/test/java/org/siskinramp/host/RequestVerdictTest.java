package org.siskinramp.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.journal.RequestHistory;
import org.siskinramp.journal.Verdict;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.FakeServers;
import org.siskinramp.time.VirtualTime;

final class RequestVerdictTest {

    private static final RequestKind READ = new RequestKind("read", "GET", "/dispatch", true, 1);
    private static final RequestKind ORDER =
            new RequestKind("order", "POST", "/dispatch", false, 9);
    private static final String SERVER =
            """
            {"name": "d-%d", "service": "dispatch", "host": "h-%d", "availability_zone": "almaty-1",
             "address": "127.0.0.1:800%d", "slots": 4, "cold_slots": 1}""";

    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform(time);
    private final FakeServers servers = new FakeServers(time, () -> 20);
    private final EntryHost host =
            EntryHost.builder()
                    .identity(new HostIdentity("entry-1", "almaty-1", "a"))
                    .clock(time)
                    .scheduler(time)
                    .platform(platform)
                    .backendServerLink(servers)
                    .peerSender((peer, message) -> {})
                    .eventLog(event -> {})
                    .counters((counter, amount) -> {})
                    .random(RandomSource.SPLIT_MIX_64.create(1L))
                    .build();

    @BeforeEach
    void start() {
        platform.setHosts(List.of(new ListedHost("entry-1", "almaty-1", "127.0.0.1:7001", false)));
        StringBuilder described = new StringBuilder();
        for (int number = 1; number <= 3; number++) {
            servers.add("d-" + number, 4);
            described
                    .append(number == 1 ? "" : ",")
                    .append(SERVER.formatted(number, number, number));
        }
        host.start();
        var unused =
                host.tickets()
                        .file(
                                """
                                {"number": 1,
                                 "services": [{"name": "dispatch", "path_prefix": "/dispatch"}],
                                 "backend_servers": [%s]}"""
                                        .formatted(described));
        time.advance(10_000);
        assertTrue(host.isReady());
    }

    private CompletableFuture<Answer> send(String identifier, RequestKind kind, String target) {
        long now = time.monotonicMilliseconds();
        return host.handle(
                Request.builder()
                        .key(new RequestKey("crew", identifier))
                        .service("dispatch")
                        .kind(kind)
                        .method(kind.method())
                        .target(target)
                        .contentHash("hash-of-" + target)
                        .arrivedMilliseconds(now)
                        .deadlineMilliseconds(now + 1_500)
                        .build());
    }

    private ResultCode code(CompletableFuture<Answer> answer) {
        time.advanceUntil(answer::isDone, 5_000);
        return answer.handle(
                        (completeAnswer, failure) ->
                                failure == null
                                        ? completeAnswer.code()
                                        : ResultException.from(failure).code())
                .join();
    }

    private RequestHistory show(String identifier) {
        time.advance(3_000);
        CompletableFuture<RequestHistory> history =
                host.inquiry().show(new RequestKey("crew", identifier));
        time.advanceUntil(history::isDone, 60_000);
        return history.join();
    }

    @Test
    void reportsTheOutcomeOfRequests() {
        assertEquals(ResultCode.ANSWERED, code(send("1", ORDER, "/dispatch/a")));
        assertEquals(ResultCode.REPLAYED, code(send("1", ORDER, "/dispatch/a")));
        assertEquals(ResultCode.ANSWERED, code(send("2", READ, "/dispatch/b")));
        assertEquals(Verdict.RAN_ONCE, show("1").verdict());
        assertEquals(List.of(100, 101), codes(show("1")));
        assertEquals(Verdict.RAN_IDEMPOTENT, show("2").verdict());
        assertEquals(1, show("2").possibleRuns());
        assertEquals(Verdict.NO_RECORD, show("3").verdict());
    }

    private static List<Integer> codes(RequestHistory history) {
        return history.entries().stream().map(found -> found.entry().resultCode()).toList();
    }

    @Test
    void quarantinesAnOrderThatCrashesServersAndReportsTheVerdictOfEachCopy() {
        for (int number = 1; number <= 3; number++) {
            servers.server("d-" + number).crashesOn("/dispatch/crash");
        }
        assertEquals(ResultCode.OUTCOME_UNKNOWN, code(send("1", ORDER, "/dispatch/crash")));
        time.advance(2_000);
        assertEquals(ResultCode.OUTCOME_UNKNOWN, code(send("1", ORDER, "/dispatch/crash")));
        assertEquals(ResultCode.OUTCOME_UNKNOWN, code(send("2", ORDER, "/dispatch/crash")));
        time.advance(2_000);
        assertEquals(ResultCode.QUARANTINED, code(send("3", ORDER, "/dispatch/crash")));
        assertEquals(ResultCode.OUTCOME_UNKNOWN, code(send("1", ORDER, "/dispatch/crash")));
        assertEquals(ResultCode.QUARANTINED, code(send("4", READ, "/dispatch/crash")));
        assertEquals(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, show("1").verdict());
        assertEquals(Verdict.DID_NOT_RUN, show("3").verdict());
    }

    @Test
    void stopsOnceClaimsAndJournalAreDurable() {
        CompletableFuture<Answer> answer = send("1", ORDER, "/dispatch/a");
        time.advanceUntil(answer::isDone, 1_000);
        host.refuseNewRequests();
        assertEquals(1, host.unsettledClaims());
        assertEquals(ResultCode.STOPPING, code(send("2", ORDER, "/dispatch/a")));
        assertTrue(time.advanceUntil(() -> host.unsettledClaims() == 0, 2_000));
        CompletableFuture<Void> closed = host.journalClosed();
        platform.setDown(true);
        host.stop();
        time.advance(20_000);
        assertFalse(closed.isDone());
        platform.setDown(false);
        assertTrue(time.advanceUntil(closed::isDone, 15_000));
        assertEquals(List.of(207), codes(show("2")));
        assertEquals(List.of(), show("1").gaps());
    }
}
