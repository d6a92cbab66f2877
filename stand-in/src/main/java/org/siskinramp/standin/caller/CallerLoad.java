package org.siskinramp.standin.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.siskinramp.standin.http.Addresses;
import org.siskinramp.standin.http.Json;
import org.siskinramp.standin.server.RunCount;
import org.siskinramp.standin.server.Runs;
import org.siskinramp.standin.server.Verdict;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Sends an open-loop load: no request waits for the answer to another. */
public final class CallerLoad implements AutoCloseable {

    private static final int THREADS = 12;
    private static final int GREATEST_CONNECTIONS = 2000;
    private static final int GREATEST_QUEUED = 100_000;
    private static final int GREATEST_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final long PATIENCE_MILLISECONDS = 2000;
    private static final long RESEND_MILLISECONDS = 5;

    private final CallerSettings settings;
    private final Clock clock;
    private final Scheduler scheduler;
    private final HttpClient client;

    /**
     * Prepares a run.
     *
     * @param settings the settings
     * @param clock the clock
     * @param scheduler what sends requests in time
     */
    public CallerLoad(CallerSettings settings, Clock clock, Scheduler scheduler) {
        this.settings = settings;
        this.clock = clock;
        this.scheduler = scheduler;
        settings.targets().forEach(Addresses::parseLoopback);
        settings.judges().forEach(Addresses::parseLoopback);
        client = startClient();
    }

    /**
     * Sends all requests, follows them up and asks the judges.
     *
     * @return what became of each request and of each kind
     */
    public CompletableFuture<LoadResult> run() {
        List<PlannedRequest> plan = LoadPlan.draw(settings);
        List<RequestRecord> records = plan.stream().map(RequestRecord::new).toList();
        List<CompletableFuture<Void>> copies = new ArrayList<>();
        long start = clock.monotonicMilliseconds();
        for (RequestRecord entry : records) {
            PlannedRequest request = entry.request();
            copies.add(sendLater(entry, request.target(), start, 0));
            if (request.isResent()) {
                copies.add(sendLater(entry, request.resendTarget(), start, RESEND_MILLISECONDS));
            }
        }
        return CompletableFuture.allOf(copies.toArray(CompletableFuture[]::new))
                .thenApplyAsync(nothing -> new LoadResult(reports(records), records));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the callers", failure);
        }
    }

    private CompletableFuture<Void> sendLater(
            RequestRecord entry, int target, long start, long extraMilliseconds) {
        long intended = start + Math.round(entry.request().sendAfterMilliseconds());
        long giveUp = intended + settings.deadlineMilliseconds() + settings.followUpMilliseconds();
        Copy copy = new Copy(entry, settings.targets().get(target), intended, giveUp);
        long delay = intended + extraMilliseconds - clock.monotonicMilliseconds();
        return later(delay).thenCompose(nothing -> send(copy));
    }

    private CompletableFuture<Void> send(Copy copy) {
        return ask(copy).thenCompose(result -> take(copy, result));
    }

    private CompletableFuture<CopyResult> ask(Copy copy) {
        PlannedRequest planned = copy.entry.request();
        return new CompletableResponseListener(toRequest(copy), GREATEST_ANSWER_BYTES)
                .send()
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? CopyResult.of(planned, response)
                                        : CopyResult.lost());
    }

    private Request toRequest(Copy copy) {
        PlannedRequest planned = copy.entry.request();
        Request request =
                client.newRequest("http://" + copy.target + planned.kind().path())
                        .method(planned.kind().method())
                        .timeout(
                                settings.deadlineMilliseconds() + PATIENCE_MILLISECONDS,
                                TimeUnit.MILLISECONDS);
        request.headers(
                headers ->
                        headers.put("Request-Id", planned.key().requestId())
                                .put("Caller", planned.key().caller())
                                .put("Request-Deadline", settings.deadlineMilliseconds()));
        if (!planned.kind().isIdempotent()) {
            request.body(new BytesRequestContent("text/plain", planned.content()));
        }
        return request;
    }

    private CompletableFuture<Void> take(Copy copy, CopyResult result) {
        long now = clock.monotonicMilliseconds();
        if (result.inProgress() && now < copy.giveUpMilliseconds) {
            return later(result.retryAfterMilliseconds()).thenCompose(nothing -> send(copy));
        }
        copy.entry.add(result, now - copy.intendedMilliseconds);
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> later(long delayMilliseconds) {
        CompletableFuture<Void> due = new CompletableFuture<>();
        scheduler.schedule(Math.max(0, delayMilliseconds), () -> due.complete(null));
        return due;
    }

    private List<LoadReport> reports(List<RequestRecord> records) {
        List<LoadReport> reports = new ArrayList<>();
        for (LoadKind kind : settings.kinds()) {
            List<RequestRecord> ofKind =
                    records.stream().filter(entry -> entry.request().kind().equals(kind)).toList();
            reports.add(LoadReport.of(kind.name(), ofKind, Optional.empty()));
        }
        reports.add(LoadReport.of("total", records, judge(records)));
        return reports;
    }

    private Optional<JudgeReport> judge(List<RequestRecord> records) {
        if (settings.judges().isEmpty()) {
            return Optional.empty();
        }
        List<RunCount> counts = new ArrayList<>();
        List<Verdict> verdicts = new ArrayList<>();
        for (String judge : settings.judges()) {
            counts.addAll(fetch(judge, "/-/judge/runs", Runs.class).runs());
            verdicts.add(fetch(judge, "/-/judge", Verdict.class));
        }
        return Optional.of(JudgeReport.of(records, counts, verdicts));
    }

    private <T> T fetch(String address, String path, Class<T> type) {
        Request request = client.newRequest("http://" + address + path);
        ContentResponse response =
                new CompletableResponseListener(request, GREATEST_ANSWER_BYTES).send().join();
        return Json.read(response.getContent(), type);
    }

    private static HttpClient startClient() {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(GREATEST_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(GREATEST_QUEUED);
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start the callers", failure);
        }
        return client;
    }

    /** Names one copy of a request on its way through one target. */
    private record Copy(
            RequestRecord entry,
            String target,
            long intendedMilliseconds,
            long giveUpMilliseconds) {}
}
