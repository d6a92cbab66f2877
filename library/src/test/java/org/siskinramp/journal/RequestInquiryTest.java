package org.siskinramp.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.ledger.Claim;
import org.siskinramp.ledger.ClaimLedger;
import org.siskinramp.ledger.ClaimResult;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.time.VirtualTime;

final class RequestInquiryTest {

    private static final RequestKey KEY = new RequestKey("crew 7", "47/11");
    private static final JournalAttempt ANSWERED = new JournalAttempt("d-1", "answered", true);
    private static final JournalAttempt TIMED_OUT = new JournalAttempt("d-2", "timed_out", true);
    private static final JournalAttempt SHED = new JournalAttempt("d-3", "shed", false);

    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform(time);
    private final RequestInquiry inquiry =
            new RequestInquiry(platform, time, JournalOptions.DEFAULT, InquiryOptions.DEFAULT);
    private boolean secondHostIsLost;
    private final Journal first = journal("entry-1", JournalOptions.DEFAULT);
    private final Journal second = journal("entry-2", JournalOptions.DEFAULT);
    private final ClaimLedger ledger =
            ClaimLedger.builder()
                    .platform(platform)
                    .clock(time)
                    .scheduler(time)
                    .random(RandomSource.SPLIT_MIX_64.create(1L))
                    .eventLog(event -> {})
                    .counters((counter, amount) -> {})
                    .host("entry-2", "a")
                    .build();

    private Journal journal(String host, JournalOptions options) {
        Journal journal =
                new Journal(
                        host,
                        "a",
                        platform,
                        time,
                        (delay, task) ->
                                time.schedule(
                                        delay,
                                        () -> {
                                            if (!secondHostIsLost || !host.equals("entry-2")) {
                                                task.run();
                                            }
                                        }),
                        event -> {},
                        (counter, amount) -> {},
                        options);
        journal.start();
        return journal;
    }

    private JournalEntry entry(
            boolean idempotent, String claim, ResultCode code, JournalAttempt... attempts) {
        return new JournalEntry(
                KEY,
                "order",
                idempotent,
                "aa",
                claim,
                List.of(attempts),
                code.number(),
                time.calendarMilliseconds(),
                0);
    }

    private RequestHistory show() {
        CompletableFuture<RequestHistory> history = inquiry.show(KEY);
        time.advanceUntil(history::isDone, 60_000);
        return history.join();
    }

    private Verdict verdictAfterWrites() {
        time.advance(3_000);
        return show().verdict();
    }

    private Claim claim() {
        Request request =
                Request.builder()
                        .key(KEY)
                        .service("dispatch")
                        .kind(new RequestKind("order", "POST", "/", false, 1))
                        .method("POST")
                        .target("/")
                        .contentHash("aa")
                        .deadlineMilliseconds(time.monotonicMilliseconds() + 10_000)
                        .build();
        CompletableFuture<ClaimResult> result = ledger.claim(request);
        time.advance(100);
        return ((ClaimResult.Granted) result.join()).claim();
    }

    @Test
    void countsThePossibleRunsOfAnIdempotentRequestOnAllHosts() {
        first.record(entry(true, "", ResultCode.TIMED_OUT, TIMED_OUT));
        second.record(entry(true, "", ResultCode.ANSWERED, SHED, TIMED_OUT, ANSWERED));
        time.advance(3_000);
        RequestHistory history = show();
        assertEquals(Verdict.RAN_IDEMPOTENT, history.verdict());
        assertEquals(3, history.possibleRuns());
        assertEquals(2, history.entries().size());
    }

    @Test
    void doesNotReportThatAnUnansweredIdempotentRequestRan() {
        first.record(entry(true, "", ResultCode.TIMED_OUT, TIMED_OUT));
        assertEquals(Verdict.MAY_HAVE_RUN_IDEMPOTENT, verdictAfterWrites());
    }

    @Test
    void reportsThatRefusedCopiesDidNotRunOnlyOnceNoOtherCanBeInProgress() {
        first.record(entry(true, "", ResultCode.QUEUE_FULL));
        time.advance(300_000);
        assertEquals(Verdict.NO_RECORD, show().verdict());
        time.advance(400_000);
        assertEquals(Verdict.DID_NOT_RUN, show().verdict());
    }

    @Test
    void reportsALostHostAsAGap() {
        first.record(entry(true, "", ResultCode.QUEUE_FULL));
        time.advance(3_000);
        secondHostIsLost = true;
        time.advance(900_000);
        RequestHistory history = show();
        assertEquals(Verdict.NO_RECORD, history.verdict());
        assertEquals(List.of("entry-2"), history.gaps().stream().map(JournalGap::host).toList());
    }

    @Test
    void reportsNoGapAfterAGracefulStop() {
        first.record(entry(true, "", ResultCode.QUEUE_FULL));
        second.record(entry(true, "", ResultCode.SHED, SHED));
        time.advance(300);
        CompletableFuture<Void> closed = second.closed();
        second.close();
        time.advance(3_000);
        closed.join();
        time.advance(900_000);
        assertEquals(Verdict.DID_NOT_RUN, show().verdict());
        assertEquals(2, show().entries().size());
    }

    @Test
    void reportsAListedHostWithoutAJournalAsAGap() {
        platform.setHosts(List.of(new ListedHost("entry-3", "almaty-1", "127.0.0.1:1", false)));
        assertEquals(Verdict.NO_RECORD, verdictAfterWrites());
        assertEquals("entry-3", show().gaps().get(0).host());
    }

    @Test
    void reportsDroppedEntriesAsAGap() {
        JournalOptions small =
                new JournalOptions(500, 1_000, 250, 10_000, 60_000, 5, 2_000, 7_200_000, 60_000);
        Journal third = journal("entry-3", small);
        time.advance(1_000);
        platform.setDown(true);
        for (int count = 0; count < 8; count++) {
            third.record(entry(true, "", ResultCode.QUEUE_FULL));
        }
        platform.setDown(false);
        time.advance(60_000);
        RequestHistory history = show();
        assertEquals(5, history.entries().size());
        assertEquals(3, history.gaps().get(0).droppedEntries());
    }

    @Test
    void reportsAVerdictForEachStateOfAClaim() {
        first.record(entry(false, "", ResultCode.IN_PROGRESS));
        assertEquals(Verdict.DID_NOT_RUN, verdictAfterWrites());
        Claim released = claim();
        assertEquals(Verdict.IN_PROGRESS, verdictAfterWrites());
        var unused = ledger.release(released);
        assertEquals(Verdict.DID_NOT_RUN, verdictAfterWrites());
        Claim later = claim();
        assertEquals(Verdict.IN_PROGRESS, verdictAfterWrites());
        var unusedOutcome =
                ledger.recordOutcome(
                        later, new Answer(ResultCode.ANSWERED, 200, List.of(), new byte[0]));
        assertEquals(Verdict.RAN_ONCE, verdictAfterWrites());
    }

    @Test
    void takesTheVerdictOfAnOpenClaimFromTheEntryOfItsHolder() {
        Claim claim = claim();
        time.advance(20_000);
        assertEquals(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, show().verdict());
        second.record(entry(false, claim.token(), ResultCode.NO_BACKEND_SERVER));
        assertEquals(Verdict.DID_NOT_RUN, verdictAfterWrites());
        second.record(entry(false, claim.token(), ResultCode.ANSWERED, ANSWERED));
        assertEquals(Verdict.RAN_ONCE, verdictAfterWrites());
    }

    @Test
    void doesNotTakeTheRefusalOfACopyForTheOutcomeOfTheClaim() {
        claim();
        first.record(entry(false, "", ResultCode.IN_PROGRESS));
        assertEquals(Verdict.IN_PROGRESS, verdictAfterWrites());
        second.record(entry(false, "token", ResultCode.OUTCOME_UNKNOWN, TIMED_OUT));
        assertEquals(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, verdictAfterWrites());
    }

    @Test
    void reportsThatARequestWithAMalformedClaimMayHaveRun() {
        RowKey row = new RowKey("claims", "crew+7/47%2F11");
        var unused = platform.commit(List.of(Write.insert(row, "{")));
        assertEquals(Verdict.MAY_HAVE_RUN_AT_MOST_ONCE, verdictAfterWrites());
    }

    @Test
    void findsEntriesThroughTheIndexAndWithoutIt() {
        first.record(entry(true, "", ResultCode.ANSWERED, ANSWERED));
        time.advance(130_000);
        assertEquals(Verdict.RAN_IDEMPOTENT, show().verdict());
        List<String> indexes =
                journalObjects().stream().filter(name -> name.contains("/index/")).toList();
        assertFalse(indexes.isEmpty());
        for (String index : indexes) {
            var unused = platform.putObject(index, new byte[] {1});
        }
        assertEquals(Verdict.RAN_IDEMPOTENT, verdictAfterWrites());
    }

    @Test
    void writesFewObjectsASecond() {
        for (int at = 0; at < 10_000; at += 2) {
            time.schedule(at, () -> first.record(entry(true, "", ResultCode.ANSWERED, ANSWERED)));
        }
        time.advance(12_000);
        long objects = journalObjects().stream().filter(name -> name.contains("/entry-1/")).count();
        assertTrue(objects <= 25, "objects: " + objects);
        assertEquals(5_000, show().entries().size());
    }

    private List<String> journalObjects() {
        CompletableFuture<List<String>> names = platform.listObjects("journal/");
        time.advanceUntil(names::isDone, 1_000);
        return names.join();
    }
}
