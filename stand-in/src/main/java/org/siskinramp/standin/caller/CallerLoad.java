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
import org.siskinramp.standin.server.ExecutionStatistics;
import org.siskinramp.standin.server.RunCount;
import org.siskinramp.standin.server.RunCounts;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Sends an open-loop load: requests are sent on schedule, whether earlier ones are answered or not.
 */
public final class CallerLoad implements AutoCloseable {

    private static final int THREADS = 12;
    private static final int MAXIMUM_CONNECTIONS_PER_TARGET = 2000;
    private static final int MAXIMUM_QUEUED_REQUESTS_PER_TARGET = 100_000;
    private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

    /** How long after its deadline a request without an answer is given up. */
    private static final long ANSWER_GRACE_MILLISECONDS = 2000;

    /** The delay from the first copy of a request to the second one. */
    private static final long RESEND_DELAY_MILLISECONDS = 5;

    private final CallerSettings settings;
    private final Clock clock;
    private final Scheduler scheduler;
    private final HttpClient client;

    /**
     * Prepares a run.
     *
     * @param settings the settings
     * @param clock the clock
     * @param scheduler runs delayed sends
     */
    public CallerLoad(CallerSettings settings, Clock clock, Scheduler scheduler) {
        this.settings = settings;
        this.clock = clock;
        this.scheduler = scheduler;
        settings.targets().forEach(Addresses::parseLoopback);
        settings.verifiedServers().forEach(Addresses::parseLoopback);
        client = startClient();
    }

    /**
     * Sends all requests, asks again for those that are in progress, and compares the outcomes with
     * what the backend servers ran.
     *
     * @return the outcomes by request and by kind
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
        for (RequestRecord requestRecord : records) {
            PlannedRequest request = requestRecord.request();
            long intendedSendNanoseconds = pacer.await(request.sendAfterMilliseconds());
            copies.add(send(newCopy(requestRecord, request.target(), intendedSendNanoseconds)));
            if (request.isResent()) {
                Copy second =
                        newCopy(requestRecord, request.resendTarget(), intendedSendNanoseconds);
                copies.add(delay(RESEND_DELAY_MILLISECONDS).thenCompose(nothing -> send(second)));
            }
        }
        return copies.toArray(CompletableFuture[]::new);
    }

    private Copy newCopy(RequestRecord requestRecord, int target, long intendedSendNanoseconds) {
        long followUpEnd =
                clock.monotonicMilliseconds()
                        + settings.deadlineMilliseconds()
                        + settings.followUpMilliseconds();
        return new Copy(requestRecord, target, 0, intendedSendNanoseconds, followUpEnd);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the HTTP client of the callers", failure);
        }
    }

    private CompletableFuture<Void> send(Copy copy) {
        return new CompletableResponseListener(toRequest(copy), MAXIMUM_ANSWER_BYTES)
                .send()
                .handle(Reply::new)
                .thenCompose(reply -> handleReply(copy, reply));
    }

    /** Tries the next target if this one was unreachable, as the platform's load balancer does. */
    private CompletableFuture<Void> handleReply(Copy copy, Reply reply) {
        if (reply.failure == null) {
            return handleResult(copy, CopyResult.of(copy.requestRecord.request(), reply.response));
        }
        if (isUnreachable(reply.failure)
                && copy.unreachableTargets + 1 < settings.targets().size()) {
            return send(copy.toNextTarget(settings.targets().size()));
        }
        return handleResult(copy, CopyResult.noAnswer());
    }

    private static boolean isUnreachable(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException;
    }

    private Request toRequest(Copy copy) {
        PlannedRequest planned = copy.requestRecord.request();
        Request request =
                client.newRequest(addressOf(copy) + planned.kind().path())
                        .method(planned.kind().method())
                        .timeout(
                                settings.deadlineMilliseconds() + ANSWER_GRACE_MILLISECONDS,
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

    private CompletableFuture<Void> handleResult(Copy copy, CopyResult result) {
        long now = clock.monotonicMilliseconds();
        if (result.inProgress() && now < copy.followUpEndMilliseconds) {
            return delay(result.retryAfterMilliseconds()).thenCompose(nothing -> send(copy));
        }
        copy.requestRecord.addResult(
                result,
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - copy.intendedSendNanoseconds));
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> delay(long delayMilliseconds) {
        CompletableFuture<Void> due = new CompletableFuture<>();
        scheduler.schedule(Math.max(0, delayMilliseconds), () -> due.complete(null));
        return due;
    }

    private List<LoadReport> reports(List<RequestRecord> records) {
        List<LoadReport> reports = new ArrayList<>();
        for (LoadKind kind : settings.kinds()) {
            List<RequestRecord> ofKind =
                    records.stream()
                            .filter(requestRecord -> requestRecord.request().kind().equals(kind))
                            .toList();
            reports.add(LoadReport.of(kind.name(), ofKind, Optional.empty()));
        }
        reports.add(LoadReport.of("total", records, verify(records)));
        return reports;
    }

    private Optional<VerificationReport> verify(List<RequestRecord> records) {
        if (settings.verifiedServers().isEmpty()) {
            return Optional.empty();
        }
        List<RunCount> counts = new ArrayList<>();
        List<ExecutionStatistics> statistics = new ArrayList<>();
        for (String server : settings.verifiedServers()) {
            counts.addAll(fetch(server, "/-/judge/runs", RunCounts.class).runs());
            statistics.add(fetch(server, "/-/judge", ExecutionStatistics.class));
        }
        return Optional.of(VerificationReport.of(records, counts, statistics));
    }

    private <T> T fetch(String address, String path, Class<T> type) {
        Request request = client.newRequest("http://" + address + path);
        ContentResponse response =
                new CompletableResponseListener(request, MAXIMUM_ANSWER_BYTES).send().join();
        return Json.read(response.getContent(), type);
    }

    private static HttpClient startClient() {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS_PER_TARGET);
        client.setMaxRequestsQueuedPerDestination(MAXIMUM_QUEUED_REQUESTS_PER_TARGET);
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start the HTTP client of the callers", failure);
        }
        return client;
    }

    /** An answer, or the failure if there is none. */
    private record Reply(ContentResponse response, Throwable failure) {}

    /** One copy of a request, sent through one target. */
    private record Copy(
            RequestRecord requestRecord,
            int target,
            int unreachableTargets,
            long intendedSendNanoseconds,
            long followUpEndMilliseconds) {

        Copy toNextTarget(int targetCount) {
            int next = (target + 1) % targetCount;
            return new Copy(
                    requestRecord,
                    next,
                    unreachableTargets + 1,
                    intendedSendNanoseconds,
                    followUpEndMilliseconds);
        }
    }
}
