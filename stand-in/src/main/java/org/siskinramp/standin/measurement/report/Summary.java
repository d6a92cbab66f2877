package org.siskinramp.standin.measurement.report;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.siskinramp.log.LogEvent;

/** Sums up the repeats of one scenario under one policy. */
public final class Summary {

    /** The figures that are summed up, in the order of the report. */
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

    Optional<Figure> figure(String key) {
        double[] values =
                runs.stream()
                        .map(run -> run.number(key))
                        .filter(OptionalDouble::isPresent)
                        .mapToDouble(OptionalDouble::getAsDouble)
                        .toArray();
        return values.length == 0 ? Optional.empty() : Optional.of(Figure.of(values));
    }

    double median(String key) {
        return figure(key).map(Figure::median).orElse(0.0);
    }

    /**
     * Returns the medians and spreads as one log line.
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
            figure(key).ifPresent(figure -> addTo(event, key, figure));
        }
        return event;
    }

    private static void addTo(LogEvent event, String key, Figure figure) {
        event.with(key, Figure.write(figure.median()));
        if (figure.least() != figure.greatest()) {
            event.with(
                    key + "_spread",
                    Figure.write(figure.least()) + ".." + Figure.write(figure.greatest()));
        }
    }
}
