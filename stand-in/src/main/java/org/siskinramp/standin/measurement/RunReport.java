package org.siskinramp.standin.measurement;

import java.util.Locale;
import org.siskinramp.log.LogEvent;
import org.siskinramp.standin.caller.LoadReport;
import org.siskinramp.standin.caller.LoadResult;
import org.siskinramp.standin.server.ExecutionStatistics;

/** Collects the results of one run as one log line of key=value pairs. */
final class RunReport {

    private static final double MILLISECONDS_PER_SECOND = 1000;
    private static final double BYTES_PER_MEBIBYTE = 1024 * 1024;
    private static final String PROCESSOR_SECONDS = "process_cpu_seconds_total";
    private static final String REQUESTS = "siskinramp_requests_total";

    private final Snapshot before;
    private final Snapshot after;
    private final LogEvent event;

    RunReport(RunSettings settings, Snapshot before, Snapshot after) {
        this.before = before;
        this.after = after;
        event =
                LogEvent.named("measure_run")
                        .with("deployment", settings.deployment().name())
                        .with("policy", settings.policy())
                        .with("scenario", settings.scenario().label())
                        .with("repeat", settings.repeat())
                        .with("seed", settings.seed())
                        .with("seconds", settings.loadMilliseconds() / MILLISECONDS_PER_SECOND)
                        .with("entry_hosts", settings.processes().callerAddresses().size())
                        .with("backend_servers", settings.processes().servers().size())
                        .with("slots", settings.deployment().slots())
                        .with("work_ms", settings.meanServiceTimeMilliseconds())
                        .with("utilisation", settings.scenario().utilisation());
    }

    RunReport withLoad(LoadResult result, long deadlineMilliseconds) {
        LoadReport total = result.total();
        event.with("sent", total.sent())
                .with("served_weighted", format(result.servedShare(deadlineMilliseconds), 5))
                .with("refused", total.notRun())
                .with("failed", total.failed())
                .with("unknown", total.unknown())
                .with("crossed", total.crossed())
                .with("doubled", total.judge().doubled())
                .with("falsely_not_run", total.judge().falselyNotRun())
                .with("p50_ms", format(total.p50Milliseconds(), 3))
                .with("p99_ms", format(total.p99Milliseconds(), 3))
                .with("p999_ms", format(total.p999Milliseconds(), 3));
        result.ofKind("read")
                .ifPresent(read -> event.with("read_p99_ms", format(read.p99Milliseconds(), 3)));
        return this;
    }

    RunReport withAddedLatency(LoadReport direct, LoadReport through) {
        event.with("direct_p50_ms", format(direct.p50Milliseconds(), 3))
                .with("through_p50_ms", format(through.p50Milliseconds(), 3))
                .with(
                        "added_p50_ms",
                        format(through.p50Milliseconds() - direct.p50Milliseconds(), 3))
                .with("direct_p99_ms", format(direct.p99Milliseconds(), 3))
                .with("through_p99_ms", format(through.p99Milliseconds(), 3))
                .with(
                        "added_p99_ms",
                        format(through.p99Milliseconds() - direct.p99Milliseconds(), 3));
        return this;
    }

    RunReport withServerCounters() {
        long runs = after.increase(before, ExecutionStatistics::runs);
        long overLimit = after.increase(before, ExecutionStatistics::overLimit);
        event.with("over_limit", overLimit)
                .with("over_limit_share", format(runs == 0 ? 0 : (double) overLimit / runs, 4))
                .with("cold_overload", after.increase(before, ExecutionStatistics::coldOverload))
                .with("shed", after.increase(before, ExecutionStatistics::shed));
        return this;
    }

    RunReport withHostMetrics() {
        double processorSeconds = after.increase(before, PROCESSOR_SECONDS);
        double requests = after.increase(before, REQUESTS);
        event.with("probes_per_second", format(rate("siskinramp_probes_total"), 2))
                .with("peer_bytes_per_second_host", perHost("siskinramp_peer_bytes_total", 0))
                .with("peer_frames_per_second_host", perHost("siskinramp_peer_frames_total", 1))
                .with("loan_asks_per_second_host", perHost("siskinramp_loan_asks_total", 1))
                .with("platform_writes_per_second", platformWriteRate())
                .with("invariant_violations", invariantViolations())
                .with("processor_percent_per_host", processorPercent(processorSeconds))
                .with(
                        "resident_mib_per_host",
                        format(
                                after.mean("process_resident_memory_bytes") / BYTES_PER_MEBIBYTE,
                                1));
        if (requests > 0) {
            event.with(
                            "processor_ms_per_request",
                            format(processorSeconds * MILLISECONDS_PER_SECOND / requests, 3))
                    .with("requests_per_core_second", format(requests / processorSeconds, 0));
        }
        return this;
    }

    LogEvent toEvent() {
        return event;
    }

    private String platformWriteRate() {
        return format(rate("siskinramp_platform_writes_total"), 1);
    }

    private String invariantViolations() {
        return format(after.increase(before, "siskinramp_invariant_violations_total"), 0);
    }

    private String processorPercent(double processorSeconds) {
        return format(100 * processorSeconds / after.secondsSince(before) / after.hostCount(), 2);
    }

    private String perHost(String metric, int places) {
        return format(rate(metric) / after.hostCount(), places);
    }

    private double rate(String metric) {
        return after.increase(before, metric) / after.secondsSince(before);
    }

    private static String format(double value, int places) {
        return String.format(Locale.ROOT, "%." + places + "f", value);
    }
}
