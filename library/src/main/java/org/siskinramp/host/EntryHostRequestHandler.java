package org.siskinramp.host;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.siskinramp.journal.Journal;
import org.siskinramp.ledger.Claim;
import org.siskinramp.ledger.ClaimLedger;
import org.siskinramp.ledger.ClaimResult;
import org.siskinramp.ledger.SuspectRequests;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.RoutedRequest;
import org.siskinramp.routing.ServiceRouter;
import org.siskinramp.routing.ServiceRouters;
import org.siskinramp.time.Clock;

/**
 * Processes requests, non-idempotent ones under a claim, and records the outcome of each in the
 * journal.
 */
final class EntryHostRequestHandler {

    private static final long RETRY_DELAY_WHEN_STOPPING_MILLISECONDS = 1_000;

    private final ServiceRouters routers;
    private final ClaimLedger ledger;
    private final SuspectRequests suspectRequests;
    private final Journal journal;
    private final Clock clock;
    private final EventLog eventLog;
    private final Counters counters;
    private final AtomicInteger inProgress = new AtomicInteger();
    private volatile boolean refusing;

    EntryHostRequestHandler(EntryHostParts parts, EntryHostBuilder builder) {
        routers = parts.routers();
        ledger = parts.ledger();
        suspectRequests = parts.suspectRequests();
        journal = parts.journal();
        clock = builder.clock();
        eventLog = builder.eventLog();
        counters = builder.counters();
    }

    void refuseNewRequests() {
        refusing = true;
    }

    int inProgress() {
        return inProgress.get();
    }

    CompletableFuture<Answer> handle(Request request) {
        counters.add(Counter.REQUESTS);
        inProgress.incrementAndGet();
        RequestTrace trace = new RequestTrace(request);
        CompletableFuture<Answer> answer =
                refusing ? refuseStopping(request) : routeToService(trace);
        Futures.whenDone(answer, (result, failure) -> recordEnd(trace, result, failure));
        return answer;
    }

    private static CompletableFuture<Answer> refuseStopping(Request request) {
        return CompletableFuture.failedFuture(
                new ResultException(
                        ResultCode.STOPPING,
                        "request=" + request.key(),
                        RETRY_DELAY_WHEN_STOPPING_MILLISECONDS));
    }

    private CompletableFuture<Answer> routeToService(RequestTrace trace) {
        Request request = trace.request();
        ServiceRouter router = routers.of(request.service()).orElse(null);
        if (router == null) {
            return CompletableFuture.failedFuture(
                    new ResultException(
                            ResultCode.SERVICE_UNKNOWN, "service=" + request.service()));
        }
        return request.kind().idempotent()
                ? runOnService(trace, router)
                : runAtMostOnce(trace, router);
    }

    private static CompletableFuture<Answer> runOnService(
            RequestTrace trace, ServiceRouter router) {
        RoutedRequest routedRequest = router.submit(trace.request());
        trace.setRoutedRequest(routedRequest);
        return routedRequest.answer();
    }

    private CompletableFuture<Answer> runAtMostOnce(RequestTrace trace, ServiceRouter router) {
        return refusalBeforeClaim(trace.request(), router)
                .map(CompletableFuture::<Answer>failedFuture)
                .orElseGet(
                        () ->
                                ledger.claim(trace.request())
                                        .thenCompose(result -> runClaimed(trace, router, result)));
    }

    /**
     * Returns the reason to refuse a request before it is claimed. A suspect request is always
     * claimed first, because an earlier copy of it may have run.
     */
    private Optional<ResultException> refusalBeforeClaim(Request request, ServiceRouter router) {
        return suspectRequests.mustRunAlone(request.contentHash())
                ? Optional.empty()
                : router.refusalOf(request);
    }

    private CompletableFuture<Answer> runClaimed(
            RequestTrace trace, ServiceRouter router, ClaimResult result) {
        if (result instanceof ClaimResult.Replayed kept) {
            counters.add(Counter.REQUESTS_REPLAYED);
            return CompletableFuture.completedFuture(kept.answer());
        }
        Claim claim = ((ClaimResult.Granted) result).claim();
        trace.setClaim(claim);
        CompletableFuture<Answer> answer = runOnService(trace, router);
        Futures.whenDone(
                answer, (completeAnswer, failure) -> settle(claim, completeAnswer, failure));
        return answer.exceptionally(EntryHostRequestHandler::rethrowForEveryCopy);
    }

    /**
     * Marks a refusal as valid for every copy of the request: a claim is granted only if no other
     * copy has run.
     */
    private static Answer rethrowForEveryCopy(Throwable failure) {
        throw ResultException.from(failure).forEveryCopy();
    }

    private void settle(Claim claim, Answer answer, Throwable failure) {
        Futures.whenDone(settlement(claim, answer, failure), (done, cause) -> logUnsettled(cause));
    }

    private CompletableFuture<Void> settlement(Claim claim, Answer answer, Throwable failure) {
        if (failure == null) {
            return ledger.recordOutcome(claim, answer);
        }
        return ResultException.from(failure).code().isNotRun()
                ? ledger.release(claim)
                : ledger.abandon(claim);
    }

    private void logUnsettled(Throwable failure) {
        if (failure != null) {
            eventLog.record(
                    LogEvent.named("claim_unsettled")
                            .with("code", ResultException.from(failure).code().number()));
        }
    }

    private void recordEnd(RequestTrace trace, Answer answer, Throwable failure) {
        ResultCode code = failure == null ? answer.code() : ResultException.from(failure).code();
        journal.record(trace.toJournalEntry(code, clock));
        inProgress.decrementAndGet();
        if (failure == null) {
            counters.add(Counter.REQUESTS_ANSWERED);
        } else if (code.isNotRun()) {
            counters.add(Counter.REQUESTS_REFUSED);
        } else {
            counters.add(Counter.REQUESTS_FAILED);
        }
    }
}
