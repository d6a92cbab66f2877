package org.siskinramp.standin.caller;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
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
        List<RequestRecord> records =
                LoadPlan.draw(settings).stream().map(RequestRecord::new).toList();
        return CompletableFuture.supplyAsync(() -> sendAll(records), Pacer::runInThread)
                .thenCompose(copies -> CompletableFuture.allOf(copies))
                .thenApplyAsync(nothing -> new LoadResult(reports(records), records));
    }

    private CompletableFuture<?>[] sendAll(List<RequestRecord> records) {
        Pacer pacer = new Pacer();
        List<CompletableFuture<Void>> copies = new ArrayList<>();
        for (RequestRecord entry : records) {
            PlannedRequest request = entry.request();
            long intended = pacer.await(request.sendAfterMilliseconds());
            copies.add(send(copyOf(entry, request.target(), intended)));
            if (request.isResent()) {
                Copy second = copyOf(entry, request.resendTarget(), intended);
                copies.add(later(RESEND_MILLISECONDS).thenCompose(nothing -> send(second)));
            }
        }
        return copies.toArray(CompletableFuture[]::new);
    }

    private Copy copyOf(RequestRecord entry, int target, long intendedNanoseconds) {
        long giveUp =
                clock.monotonicMilliseconds()
                        + settings.deadlineMilliseconds()
                        + settings.followUpMilliseconds();
        return new Copy(entry, target, 0, intendedNanoseconds, giveUp);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the callers", failure);
        }
    }

    private CompletableFuture<Void> send(Copy copy) {
        return new CompletableResponseListener(toRequest(copy), GREATEST_ANSWER_BYTES)
                .send()
                .handle(Reply::new)
                .thenCompose(reply -> end(copy, reply));
    }

    /** Goes on to the next target if none was reached, as the balancer of the platform does. */
    private CompletableFuture<Void> end(Copy copy, Reply reply) {
        if (reply.failure == null) {
            return take(copy, CopyResult.of(copy.entry.request(), reply.response));
        }
        if (isUnreachable(reply.failure) && copy.refusals + 1 < settings.targets().size()) {
            return send(copy.toNextOf(settings.targets().size()));
        }
        return take(copy, CopyResult.lost());
    }

    private static boolean isUnreachable(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException;
    }

    private Request toRequest(Copy copy) {
        PlannedRequest planned = copy.entry.request();
        Request request =
                client.newRequest(addressOf(copy) + planned.kind().path())
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

    private String addressOf(Copy copy) {
        return "http://" + settings.targets().get(copy.target);
    }

    private CompletableFuture<Void> take(Copy copy, CopyResult result) {
        long now = clock.monotonicMilliseconds();
        if (result.inProgress() && now < copy.giveUpMilliseconds) {
            return later(result.retryAfterMilliseconds()).thenCompose(nothing -> send(copy));
        }
        copy.entry.add(
                result,
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - copy.intendedNanoseconds));
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

    /** Holds an answer, or why there is none. */
    private record Reply(ContentResponse response, Throwable failure) {}

    /** Names one copy of a request on its way through one target. */
    private record Copy(
            RequestRecord entry,
            int target,
            int refusals,
            long intendedNanoseconds,
            long giveUpMilliseconds) {

        Copy toNextOf(int targets) {
            int next = (target + 1) % targets;
            return new Copy(entry, next, refusals + 1, intendedNanoseconds, giveUpMilliseconds);
        }
    }
}
