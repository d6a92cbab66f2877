package org.siskinramp.standin.measurement;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.caller.CallerLoad;
import org.siskinramp.standin.caller.CallerSettings;
import org.siskinramp.standin.caller.LoadKind;
import org.siskinramp.standin.caller.LoadResult;
import org.siskinramp.standin.caller.LoadShape;
import org.siskinramp.standin.http.Json;
import org.siskinramp.time.SystemClock;

/** Carries out one run against entry hosts that have just started and have no configuration yet. */
public final class MeasurementRun implements AutoCloseable {

    private static final int THREADS = 2;
    private static final int CALLERS = 20;
    private static final double MILLISECONDS_PER_SECOND = 1000;
    private static final double WARM_UP_UTILISATION = 0.15;
    private static final double WARM_UP_SURGE_FACTOR = 3;
    private static final double WARM_UP_MAXIMUM_REQUESTS_PER_SECOND = 200;
    private static final double ADDED_LATENCY_REQUESTS_PER_SECOND = 200;
    private static final int ROLL_OUT_ATTEMPTS = 150;
    private static final long ROLL_OUT_POLL_MILLISECONDS = 200;
    private static final long SETTLE_MILLISECONDS = 3000;
    private static final long FOLLOW_UP_MILLISECONDS = 3000;
    private static final long WARM_UP_SEED_OFFSET = 1_000_003;

    private final RunSettings settings;
    private final EventLog output;
    private final ControlClient control;
    private final WorkerScheduler scheduler = new WorkerScheduler(THREADS);

    /**
     * Prepares a run.
     *
     * @param settings the settings
     * @param output the log for the result, which is one line
     */
    public MeasurementRun(RunSettings settings, EventLog output) {
        this.settings = settings;
        this.output = output;
        control = new ControlClient(settings.processes().token());
    }

    /** Puts the services into force, warms up entry hosts and backend servers, and measures. */
    public void run() {
        rollOut();
        sleep(SETTLE_MILLISECONDS);
        warmUp();
        Snapshot before = Snapshot.take(settings.processes(), control);
        settings.scenario()
                .disturbance()
                .schedule(new DisturbanceContext(settings, control, scheduler, output));
        RunReport report =
                switch (settings.scenario()) {
                    case IDLE -> measureIdle(before);
                    case ADDED_LATENCY -> measureAddedLatency(before);
                    default -> measureLoad(before);
                };
        output.record(report.toEvent());
    }

    @Override
    public void close() {
        scheduler.close();
        control.close();
    }

    private void rollOut() {
        MeasuredTicket ticket =
                MeasuredTicket.of(settings.deployment(), settings.processes().servers());
        String body = new String(Json.write(ticket), StandardCharsets.UTF_8);
        awaitTrue("the first entry host does not accept the ticket", () -> isFiled(body));
        awaitTrue("the ticket is not in force on all entry hosts", this::isInForce);
    }

    private boolean isFiled(String ticket) {
        try {
            control.post(
                    settings.processes().administrationAddresses().get(0), "/v1/tickets", ticket);
            return true;
        } catch (ResultException refusal) {
            output.record(
                    LogEvent.named("measure_ticket_refused").with("reason", refusal.getMessage()));
            return false;
        }
    }

    private boolean isInForce() {
        return settings.processes().administrationAddresses().stream()
                .allMatch(this::hasAllServers);
    }

    private boolean hasAllServers(String administration) {
        MetricsPage page = MetricsPage.of(control.get(administration, "/metrics"));
        return page.value("siskinramp_backend_servers") == settings.processes().servers().size();
    }

    private static void awaitTrue(String failureMessage, BooleanSupplier condition) {
        for (int attempt = 0; attempt < ROLL_OUT_ATTEMPTS; attempt++) {
            if (condition.getAsBoolean()) {
                return;
            }
            sleep(ROLL_OUT_POLL_MILLISECONDS);
        }
        throw new ResultException(ResultCode.REQUEST_INVALID, failureMessage);
    }

    private void warmUp() {
        if (settings.warmUpMilliseconds() == 0) {
            return;
        }
        if (settings.scenario() == Scenario.IDLE) {
            sleep(settings.warmUpMilliseconds());
            return;
        }
        LoadResult result =
                send(
                        callerSettings(
                                settings.processes().callerAddresses(),
                                mix(),
                                warmUpRequestsPerSecond(),
                                settings.warmUpMilliseconds(),
                                settings.seed() + WARM_UP_SEED_OFFSET,
                                warmUpShape()));
        output.record(
                LogEvent.named("measure_warm_up")
                        .with("sent", result.total().sent())
                        .with("answered_once", result.total().answeredOnce())
                        .with("refused", result.total().notRun())
                        .with("p99_ms", result.total().p99Milliseconds()));
    }

    /** Starts with a lower rate, since the backend servers are cold. */
    private LoadShape warmUpShape() {
        double milliseconds = (double) settings.warmUpMilliseconds();
        return new LoadShape(WARM_UP_SURGE_FACTOR, milliseconds / 2, milliseconds, List.of());
    }

    private double warmUpRequestsPerSecond() {
        return Math.min(
                settings.requestsPerSecond(WARM_UP_UTILISATION),
                WARM_UP_MAXIMUM_REQUESTS_PER_SECOND);
    }

    private RunReport measureLoad(Snapshot before) {
        Scenario scenario = settings.scenario();
        List<String> targets = settings.processes().callerAddresses();
        LoadShape shape = scenario.shape(targets.size(), (double) settings.loadMilliseconds());
        double rate = settings.requestsPerSecond(scenario.utilisation());
        LoadResult result =
                send(
                        callerSettings(
                                targets,
                                mix(),
                                rate,
                                settings.loadMilliseconds(),
                                settings.seed(),
                                shape));
        return report(before).withLoad(result, settings.deadlineMilliseconds());
    }

    private RunReport measureAddedLatency(Snapshot before) {
        List<LoadKind> reads = List.of(mix().stream().filter(this::isRead).findFirst().get());
        List<String> direct = List.of(settings.processes().directServer());
        List<String> throughEntryHost = settings.processes().callerAddresses().subList(0, 1);
        CompletableFuture<LoadResult> directResult =
                CompletableFuture.supplyAsync(() -> sendReads(direct, reads, settings.seed()));
        LoadResult throughEntryHostResult = sendReads(throughEntryHost, reads, settings.seed() + 1);
        return report(before)
                .withLoad(throughEntryHostResult, settings.deadlineMilliseconds())
                .withAddedLatency(directResult.join().total(), throughEntryHostResult.total());
    }

    private boolean isRead(LoadKind kind) {
        return kind.name().equals("read");
    }

    private LoadResult sendReads(List<String> targets, List<LoadKind> reads, long seed) {
        return send(
                callerSettings(
                        targets,
                        reads,
                        ADDED_LATENCY_REQUESTS_PER_SECOND,
                        settings.loadMilliseconds(),
                        seed,
                        LoadShape.STEADY));
    }

    private RunReport measureIdle(Snapshot before) {
        sleep(settings.loadMilliseconds());
        return report(before);
    }

    private RunReport report(Snapshot before) {
        Snapshot after = Snapshot.take(settings.processes(), control);
        return new RunReport(settings, before, after).withServerCounters().withHostMetrics();
    }

    private List<LoadKind> mix() {
        return settings.deployment().mix(settings.processes().servers().size());
    }

    private CallerSettings callerSettings(
            List<String> targets,
            List<LoadKind> kinds,
            double requestsPerSecond,
            long milliseconds,
            long seed,
            LoadShape shape) {
        int requests =
                (int)
                        (requestsPerSecond
                                * shape.meanFactor((double) milliseconds)
                                * milliseconds
                                / MILLISECONDS_PER_SECOND);
        return new CallerSettings(
                targets,
                settings.processes().servers(),
                kinds,
                requests,
                0,
                requestsPerSecond,
                CALLERS,
                seed,
                settings.deadlineMilliseconds(),
                0,
                FOLLOW_UP_MILLISECONDS,
                shape);
    }

    private LoadResult send(CallerSettings callerSettings) {
        try (CallerLoad load = new CallerLoad(callerSettings, new SystemClock(), scheduler)) {
            return load.run().join();
        }
    }

    private static void sleep(long milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", failure);
        }
    }
}
