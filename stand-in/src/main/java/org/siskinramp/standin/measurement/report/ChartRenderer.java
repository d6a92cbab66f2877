package org.siskinramp.standin.measurement.report;

import java.util.ArrayList;
import java.util.List;

/** Draws the charts of a report: one set for each deployment. */
final class ChartRenderer {

    private static final String STEADY = "steady-";

    private final String deployment;
    private final List<Summary> summaries;
    private final List<String> policies;

    private ChartRenderer(String deployment, List<Summary> summaries) {
        this.deployment = deployment;
        this.summaries = summaries;
        policies = summaries.stream().map(Summary::policy).distinct().toList();
    }

    static List<RenderedChart> renderAll(List<Summary> summaries) {
        List<RenderedChart> renderedCharts = new ArrayList<>();
        summaries.stream()
                .map(summary -> summary.text("deployment"))
                .distinct()
                .forEach(
                        deployment ->
                                renderedCharts.addAll(
                                        new ChartRenderer(
                                                        deployment,
                                                        withLatency(summaries, deployment))
                                                .render()));
        return renderedCharts;
    }

    private static List<Summary> withLatency(List<Summary> summaries, String deployment) {
        return summaries.stream()
                .filter(summary -> summary.text("deployment").equals(deployment))
                .filter(summary -> summary.statistics("p99_ms").isPresent())
                .filter(summary -> summary.statistics("added_p99_ms").isEmpty())
                .toList();
    }

    private List<RenderedChart> render() {
        if (summaries.isEmpty()) {
            return List.of();
        }
        List<String> scenarios = summaries.stream().map(Summary::scenario).distinct().toList();
        List<String> steady =
                scenarios.stream()
                        .filter(scenario -> scenario.startsWith(STEADY))
                        .sorted()
                        .toList();
        List<RenderedChart> renderedCharts = new ArrayList<>();
        if (steady.size() > 1) {
            Chart chart = chart("99th percentile by load", "ms", steady, "p99_ms");
            renderedCharts.add(renderedChart("p99-by-load", chart.title(), chart.lines()));
        }
        renderedCharts.add(bars("p99", "99th percentile by scenario", "ms", scenarios, "p99_ms"));
        renderedCharts.add(
                bars(
                        "over-limit",
                        "Share of runs that reached a server with all slots busy",
                        "share",
                        scenarios,
                        "over_limit_share"));
        renderedCharts.add(
                bars("served", "Served in time, weighted", "share", scenarios, "served_weighted"));
        return renderedCharts;
    }

    private RenderedChart bars(
            String name, String title, String axisLabel, List<String> categories, String key) {
        Chart chart = chart(title, axisLabel, categories, key);
        return renderedChart(name, chart.title(), chart.bars());
    }

    private RenderedChart renderedChart(String name, String title, String content) {
        return new RenderedChart(deployment + "-" + name + ".svg", title, content);
    }

    private Chart chart(String title, String axisLabel, List<String> categories, String key) {
        List<Series> series =
                policies.stream().map(policy -> series(policy, categories, key)).toList();
        return new Chart(title + " (" + deployment + ")", axisLabel, categories, series);
    }

    private Series series(String policy, List<String> categories, String key) {
        return new Series(
                policy,
                categories.stream().map(category -> median(policy, category, key)).toList());
    }

    private double median(String policy, String scenario, String key) {
        return summaries.stream()
                .filter(summary -> summary.policy().equals(policy))
                .filter(summary -> summary.scenario().equals(scenario))
                .findFirst()
                .flatMap(summary -> summary.statistics(key))
                .map(RepeatStatistics::median)
                .orElse(Double.NaN);
    }
}
