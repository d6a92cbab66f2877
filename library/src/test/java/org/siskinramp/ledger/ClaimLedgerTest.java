package org.siskinramp.ledger;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.FakePlatform.Fault;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.RewritingPlatform;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Header;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.VirtualTime;

final class ClaimLedgerTest {

    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform(time);
    private final ClaimLedger first = ledger("entry-1");
    private final ClaimLedger second = ledger("entry-2");

    private ClaimLedger ledger(String host) {
        return ledger(host, platform);
    }

    private ClaimLedger ledger(String host, Platform usedPlatform) {
        return ClaimLedger.builder()
                .platform(usedPlatform)
                .clock(time)
                .scheduler(time)
                .random(RandomSource.SPLIT_MIX_64.create((long) host.hashCode()))
                .eventLog(event -> {})
                .counters((counter, amount) -> {})
                .host(host, "a")
                .hostCount(() -> 15)
                .build();
    }

    private Request request(String identifier, String hash) {
        return Request.builder()
                .key(new RequestKey("crew 7", identifier))
                .service("dispatch")
                .kind(new RequestKind("order", "POST", "/dispatch", false, 10))
                .method("POST")
                .target("/dispatch/orders")
                .contentHash(hash)
                .arrivedMilliseconds(time.monotonicMilliseconds())
                .deadlineMilliseconds(time.monotonicMilliseconds() + 2_000)
                .build();
    }

    private static Answer answer(String text) {
        return new Answer(
                ResultCode.ANSWERED,
                201,
                List.of(new Header("Content-Type", "text/plain")),
                text.getBytes(StandardCharsets.UTF_8));
    }

    private Claim granted(CompletableFuture<ClaimResult> result) {
        time.advance(100);
        return ((ClaimResult.Granted) result.join()).claim();
    }

    private String replayedBody(CompletableFuture<ClaimResult> result) {
        time.advance(100);
        Answer answer = ((ClaimResult.Replayed) result.join()).answer();
        assertEquals(ResultCode.REPLAYED, answer.code());
        assertEquals(201, answer.status());
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    private ResultCode code(CompletableFuture<?> result) {
        return failure(result).code();
    }

    private ResultException failure(CompletableFuture<?> result) {
        time.advanceUntil(result::isDone, 3_000);
        assertTrue(result.isCompletedExceptionally());
        return ResultException.from(result.handle((value, failure) -> failure).join());
    }

    @Test
    void grantsARequestOnce() {
        granted(first.claim(request("1", "aa")));
        assertEquals(ResultCode.IN_PROGRESS, code(first.claim(request("1", "aa"))));
        assertEquals(ResultCode.IN_PROGRESS, code(second.claim(request("1", "aa"))));
    }

    @Test
    void grantsOneOfTwoCopiesAtTheSameTime() {
        CompletableFuture<ClaimResult> one = first.claim(request("1", "aa"));
        CompletableFuture<ClaimResult> two = second.claim(request("1", "aa"));
        CompletableFuture<ClaimResult> other = second.claim(request("2", "bb"));
        assertEquals(ResultCode.IN_PROGRESS, code(first.claim(request("1", "aa"))));
        granted(one);
        assertEquals(ResultCode.IN_PROGRESS, code(two));
        granted(other);
    }

    @Test
    void refusesAnotherRequestWithTheSameIdentifier() {
        granted(first.claim(request("1", "aa")));
        assertEquals(ResultCode.REQUEST_ID_REUSED, code(first.claim(request("1", "bb"))));
        assertEquals(ResultCode.REQUEST_ID_REUSED, code(second.claim(request("1", "bb"))));
    }

    @Test
    void replaysTheAnswerOnEveryHost() {
        Claim claim = granted(first.claim(request("1", "aa")));
        CompletableFuture<Void> durable = first.recordOutcome(claim, answer("done"));
        assertEquals("done", replayedBody(first.claim(request("1", "aa"))));
        time.advance(500);
        durable.join();
        assertEquals("done", replayedBody(first.claim(request("1", "aa"))));
        assertEquals("done", replayedBody(second.claim(request("1", "aa"))));
        assertEquals(ResultCode.REQUEST_ID_REUSED, code(second.claim(request("1", "bb"))));
    }

    @Test
    void storesLargeAnswersAsObjects() {
        String large = "x".repeat(40_000);
        Claim claim = granted(first.claim(request("1", "aa")));
        CompletableFuture<Void> durable = first.recordOutcome(claim, answer(large));
        time.advance(500);
        durable.join();
        assertEquals(large, replayedBody(second.claim(request("1", "aa"))));
        assertArrayEquals(
                large.getBytes(StandardCharsets.UTF_8),
                platform.getObjectNow("answers/" + claim.token()));
    }

    @Test
    void reportsThatTheOutcomeIsUnknown() {
        granted(first.claim(request("1", "aa")));
        Claim abandoned = granted(first.claim(request("2", "bb")));
        CompletableFuture<Void> durable = first.abandon(abandoned);
        time.advance(500);
        durable.join();
        assertEquals(ResultCode.OUTCOME_UNKNOWN, code(second.claim(request("2", "bb"))));
        assertEquals(ResultCode.IN_PROGRESS, code(second.claim(request("1", "aa"))));
        time.advance(8_000);
        assertEquals(ResultCode.OUTCOME_UNKNOWN, code(second.claim(request("1", "aa"))));
    }

    @Test
    void grantsAReleasedRequestAgain() {
        Claim claim = granted(first.claim(request("1", "aa")));
        CompletableFuture<Void> durable = first.release(claim);
        time.advance(500);
        durable.join();
        Claim next = granted(second.claim(request("1", "aa")));
        assertFalse(next.token().equals(claim.token()));
        assertEquals(ResultCode.IN_PROGRESS, code(first.claim(request("1", "aa"))));
    }

    @Test
    void settlesAClaimOnlyOnce() {
        Claim claim = granted(first.claim(request("1", "aa")));
        CompletableFuture<Void> durable = first.recordOutcome(claim, answer("done"));
        assertEquals(ResultCode.INVARIANT_VIOLATED, code(first.release(claim)));
        time.advance(500);
        durable.join();
        assertEquals("done", replayedBody(second.claim(request("1", "aa"))));
    }

    @Test
    void readsTheRowsWhenTheAnswerToACommitWasLost() {
        platform.failNextWrites(Fault.ANSWER_LOST);
        granted(first.claim(request("1", "aa")));
        platform.failNextWrites(Fault.WRITE_LOST);
        granted(first.claim(request("2", "bb")));
    }

    @Test
    void fencesAClaimWhoseWriteArrivesAfterItsRefusal() {
        platform.setLateMilliseconds(20_000);
        platform.failNextWrites(Fault.WRITE_LATE);
        CompletableFuture<ClaimResult> refused = first.claim(request("1", "aa"));
        time.advance(10);
        platform.setDown(true);
        assertEquals(ResultCode.CLAIM_UNCONFIRMED, code(refused));
        time.advance(5_000);
        platform.setDown(false);
        time.advance(4_000);
        Claim claim = granted(second.claim(request("1", "aa")));
        time.advance(20_000);
        CompletableFuture<Void> durable = second.recordOutcome(claim, answer("done"));
        time.advance(500);
        durable.join();
        assertEquals("done", replayedBody(first.claim(request("1", "aa"))));
    }

    @Test
    void freesTheKeyOfALateWrite() {
        granted(claimAfterLateWrite(first));
    }

    @Test
    void wouldLeaveTheKeyBlockedWithoutTheFence() {
        Platform unfenced = new RewritingPlatform(platform, ClaimLedgerTest::redirectFence);
        assertEquals(
                ResultCode.OUTCOME_UNKNOWN, code(claimAfterLateWrite(ledger("entry-3", unfenced))));
    }

    private static Write redirectFence(Write write) {
        boolean released = write.value().orElse("").contains("\"state\":\"released\"");
        return released && write.expectedVersion() == Write.ABSENT
                ? new Write(new RowKey("elsewhere", "fence"), write.value(), Write.ANY)
                : write;
    }

    private CompletableFuture<ClaimResult> claimAfterLateWrite(ClaimLedger refusing) {
        platform.setLateMilliseconds(20_000);
        platform.failNextWrites(Fault.WRITE_LATE);
        CompletableFuture<ClaimResult> refused = refusing.claim(request("1", "aa"));
        time.advance(10);
        platform.setDown(true);
        assertEquals(ResultCode.CLAIM_UNCONFIRMED, code(refused));
        platform.setDown(false);
        time.advance(21_000);
        return second.claim(request("1", "aa"));
    }

    @Test
    void releasesAClaimThatWasWrittenAfterItsRefusal() {
        platform.setLateMilliseconds(1_500);
        platform.failNextWrites(Fault.WRITE_LATE);
        CompletableFuture<ClaimResult> refused = first.claim(request("1", "aa"));
        time.advance(10);
        platform.setDown(true);
        assertEquals(ResultCode.CLAIM_UNCONFIRMED, code(refused));
        time.advance(2_000);
        platform.setDown(false);
        time.advance(3_000);
        granted(second.claim(request("1", "aa")));
    }

    @Test
    void refusesAtOnceWhileThePlatformIsDown() {
        platform.setDown(true);
        for (int index = 0; index < 3; index++) {
            assertEquals(ResultCode.CLAIM_UNCONFIRMED, code(first.claim(request("1", "aa"))));
        }
        int commits = platform.commits();
        CompletableFuture<ClaimResult> refused = first.claim(request("2", "bb"));
        assertTrue(refused.isCompletedExceptionally());
        assertTrue(failure(refused).retryAfterMilliseconds().orElse(0) >= 500);
        assertEquals(commits, platform.commits());
        platform.setDown(false);
        time.advance(600);
        granted(first.claim(request("3", "cc")));
        granted(first.claim(request("4", "dd")));
    }

    @Test
    void writesOutcomesOnceThePlatformIsBack() {
        Claim claim = granted(first.claim(request("1", "aa")));
        platform.setDown(true);
        CompletableFuture<Void> durable = first.recordOutcome(claim, answer("done"));
        time.advance(60_000);
        assertFalse(durable.isDone());
        platform.setDown(false);
        platform.failNextWrites(Fault.ANSWER_LOST, Fault.REFUSED, Fault.WRITE_LOST);
        time.advance(10_000);
        durable.join();
        assertEquals("done", replayedBody(second.claim(request("1", "aa"))));
    }

    @Test
    void countsClaimsUntilTheirSettlementIsDurable() {
        Claim claim = granted(first.claim(request("1", "aa")));
        assertEquals(1, first.unsettledClaims());
        platform.setDown(true);
        CompletableFuture<Void> durable = first.release(claim);
        time.advance(60_000);
        assertEquals(1, first.unsettledClaims());
        platform.setDown(false);
        time.advance(10_000);
        durable.join();
        assertEquals(0, first.unsettledClaims());
    }

    @Test
    void refusesOnlyTheRequestWhoseRowIsMalformed() {
        writeMalformedRow("1");
        CompletableFuture<ClaimResult> one = first.claim(request("1", "aa"));
        CompletableFuture<ClaimResult> two = first.claim(request("2", "bb"));
        assertEquals(ResultCode.OUTCOME_UNKNOWN, code(one));
        granted(two);
    }

    @Test
    void settlesTheRestOfAGroupAroundAMalformedRow() {
        Claim one = granted(first.claim(request("1", "aa")));
        Claim two = granted(first.claim(request("2", "bb")));
        writeMalformedRow("1");
        var unused = first.recordOutcome(one, answer("one"));
        CompletableFuture<Void> durable = first.recordOutcome(two, answer("two"));
        time.advance(2_000);
        assertTrue(durable.isDone());
        assertEquals("two", replayedBody(second.claim(request("2", "bb"))));
        assertEquals(0, first.unsettledClaims());
    }

    private void writeMalformedRow(String identifier) {
        RowKey row = ClaimRowCodec.rowKey(new RequestKey("crew 7", identifier));
        var unused = platform.commit(List.of(new Write(row, Optional.of("{"), Write.ANY)));
        time.advance(100);
    }

    @Test
    void groupsClaimsWithinItsShareOfTransactions() {
        for (int index = 0; index < 1_000; index++) {
            time.advance(1);
            claimWithoutImmediateRefusal(index);
        }
        assertTrue(platform.commits() <= 31, "commits: " + platform.commits());
    }

    private void claimWithoutImmediateRefusal(int index) {
        CompletableFuture<ClaimResult> result = first.claim(request("n" + index, "aa"));
        assertFalse(result.isCompletedExceptionally());
    }
}
