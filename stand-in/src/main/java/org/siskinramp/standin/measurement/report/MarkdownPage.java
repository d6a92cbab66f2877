package org.siskinramp.standin.measurement.report;

import java.util.List;

/** Writes a report as a Markdown page. */
final class MarkdownPage {

    private static final List<Table> TABLES =
            List.of(
                    new Table(
                            "Latency and service",
                            List.of(
                                    "p50_ms",
                                    "p99_ms",
                                    "p999_ms",
                                    "read_p99_ms",
                                    "served_weighted",
                                    "sent",
                                    "refused",
                                    "failed",
                                    "unknown")),
                    new Table(
                            "Load on backend servers, and what must not happen",
                            List.of(
                                    "over_limit",
                                    "over_limit_share",
                                    "cold_overload",
                                    "shed",
                                    "doubled",
                                    "crossed",
                                    "falsely_not_run",
                                    "invariant_violations")),
                    new Table(
                            "Cost",
                            List.of(
                                    "probes_per_second",
                                    "peer_bytes_per_second_host",
                                    "peer_frames_per_second_host",
                                    "loan_asks_per_second_host",
                                    "platform_writes_per_second",
                                    "processor_ms_per_request",
                                    "requests_per_core_second",
                                    "processor_percent_per_host",
                                    "resident_mib_per_host")),
                    new Table(
                            "Added latency: one entry host against none",
                            List.of(
                                    "direct_p50_ms",
                                    "through_p50_ms",
                                    "added_p50_ms",
                                    "direct_p99_ms",
                                    "through_p99_ms",
                                    "added_p99_ms")));

    private final List<Summary> summaries;
    private final List<RenderedChart> charts;
    private final String chartDirectory;
    private final StringBuilder text = new StringBuilder();

    MarkdownPage(List<Summary> summaries, List<RenderedChart> charts, String chartDirectory) {
        this.summaries = summaries;
        this.charts = charts;
        this.chartDirectory = chartDirectory;
    }

    String write(ReportHead head) {
        writeLine("# Measurements");
        writeLine("");
        writeLine("Command: `" + head.command() + "`");
        writeLine("");
        writeLine("Commit: " + head.commit());
        writeLine("");
        writeLine("Machine: " + head.machine());
        writeLine("");
        if (!head.note().isEmpty()) {
            writeLine(head.note());
            writeLine("");
        }
        writeMethod();
        TABLES.forEach(this::writeTable);
        charts.forEach(
                chart -> {
                    writeLine(
                            "!["
                                    + chart.title()
                                    + "]("
                                    + chartDirectory
                                    + "/"
                                    + chart.fileName()
                                    + ")");
                    writeLine("");
                });
        return text.toString();
    }

    private void writeMethod() {
        Summary first = summaries.get(0);
        writeLine(
                "Each run starts its own platform, backend servers and entry hosts on loopback,"
                        + " without added network delay: "
                        + first.text("entry_hosts")
                        + " entry hosts, "
                        + first.text("backend_servers")
                        + " backend servers of "
                        + first.text("slots")
                        + " slots, exponential work of mean "
                        + first.text("work_ms")
                        + " ms, "
                        + first.text("seconds")
                        + " s of Poisson load after a warm-up. Callers do not wait for answers, and"
                        + " a latency runs from when its request was to be sent. Latencies are of"
                        + " answered requests only; served_weighted counts all: an answer that comes"
                        + " once and in time counts with the weight of its kind. Peer bytes are what"
                        + " entry hosts send to each other, without what they exchange with the"
                        + " platform; processor time is that of the entry hosts alone. Each figure is the"
                        + " median of the repeats, with the least and the greatest in brackets.");
        writeLine("");
    }

    private void writeTable(Table table) {
        List<Summary> rows =
                summaries.stream().filter(summary -> table.appliesTo(summary)).toList();
        if (rows.isEmpty()) {
            return;
        }
        writeLine("## " + table.title());
        writeLine("");
        writeLine(
                "| deployment | scenario | policy | repeats | "
                        + String.join(" | ", table.keys())
                        + " |");
        writeLine("|---|---|---|---" + "|---".repeat(table.keys().size()) + "|");
        rows.forEach(row -> writeRow(row, table.keys()));
        writeLine("");
    }

    private void writeRow(Summary row, List<String> keys) {
        StringBuilder cellText = new StringBuilder();
        for (String key : keys) {
            cellText.append(row.statistics(key).map(RepeatStatistics::toText).orElse(""))
                    .append(" | ");
        }
        writeLine(
                "| "
                        + String.join(
                                " | ",
                                row.text("deployment"),
                                row.scenario(),
                                row.policy(),
                                Integer.toString(row.repeats()))
                        + " | "
                        + cellText.toString().strip());
    }

    private void writeLine(String line) {
        text.append(line).append('\n');
    }

    private record Table(String title, List<String> keys) {

        boolean appliesTo(Summary summary) {
            return keys.stream().anyMatch(key -> summary.statistics(key).isPresent());
        }
    }
}
