package org.siskinramp.standin.measurement.report;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.siskinramp.log.LogEvent;

/** Summarises the repeated runs of one deployment, scenario and policy. */
public final class Summary {

    /** The keys of the summarised values, in the order of the log line. */
    static final List<String> KEYS =
            List.of(
                    "p50_ms",
                    "p99_ms",
                    "p999_ms",
                    "read_p99_ms",
                    "served_weighted",
                    "sent",
                    "refused",
                    "failed",
                    "unknown",
                    "crossed",
                    "doubled",
                    "falsely_not_run",
                    "over_limit",
                    "over_limit_share",
                    "cold_overload",
                    "shed",
                    "probes_per_second",
                    "peer_bytes_per_second_host",
                    "peer_frames_per_second_host",
                    "loan_asks_per_second_host",
                    "platform_writes_per_second",
                    "invariant_violations",
                    "processor_ms_per_request",
                    "requests_per_core_second",
                    "processor_percent_per_host",
                    "resident_mib_per_host",
                    "direct_p50_ms",
                    "through_p50_ms",
                    "added_p50_ms",
                    "direct_p99_ms",
                    "through_p99_ms",
                    "added_p99_ms");

    private final List<RunLine> runs;

    Summary(List<RunLine> runs) {
        this.runs = List.copyOf(runs);
    }

    String text(String key) {
        return runs.get(0).text(key);
    }

    String policy() {
        return text("policy");
    }

    String scenario() {
        return text("scenario");
    }

    int repeats() {
        return runs.size();
    }

    Optional<RepeatStatistics> statistics(String key) {
        double[] values =
                runs.stream()
                        .map(run -> run.number(key))
                        .filter(OptionalDouble::isPresent)
                        .mapToDouble(OptionalDouble::getAsDouble)
                        .toArray();
        return values.length == 0 ? Optional.empty() : Optional.of(RepeatStatistics.of(values));
    }

    double median(String key) {
        return statistics(key).map(RepeatStatistics::median).orElse(0.0);
    }

    /**
     * Returns the median of each value as one log line, with the range where the runs differ.
     *
     * @return the event
     */
    public LogEvent toEvent() {
        LogEvent event =
                LogEvent.named("measure_summary")
                        .with("deployment", text("deployment"))
                        .with("policy", policy())
                        .with("scenario", scenario())
                        .with("repeats", repeats());
        for (String key : KEYS) {
            statistics(key).ifPresent(statistics -> addTo(event, key, statistics));
        }
        return event;
    }

    private static void addTo(LogEvent event, String key, RepeatStatistics statistics) {
        event.with(key, RepeatStatistics.format(statistics.median()));
        if (statistics.minimum() != statistics.maximum()) {
            event.with(
                    key + "_spread",
                    RepeatStatistics.format(statistics.minimum())
                            + ".."
                            + RepeatStatistics.format(statistics.maximum()));
        }
    }
}
