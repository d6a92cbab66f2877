package org.siskinramp.standin.measurement.report;

import java.util.ArrayList;
import java.util.List;

/** Draws the pictures of a report: one set for each deployment. */
final class Pictures {

    private static final String STEADY = "steady-";

    private final String deployment;
    private final List<Summary> summaries;
    private final List<String> policies;

    private Pictures(String deployment, List<Summary> summaries) {
        this.deployment = deployment;
        this.summaries = summaries;
        policies = summaries.stream().map(Summary::policy).distinct().toList();
    }

    static List<Picture> of(List<Summary> summaries) {
        List<Picture> pictures = new ArrayList<>();
        summaries.stream()
                .map(summary -> summary.text("deployment"))
                .distinct()
                .forEach(
                        deployment ->
                                pictures.addAll(
                                        new Pictures(deployment, under(summaries, deployment))
                                                .draw()));
        return pictures;
    }

    private static List<Summary> under(List<Summary> summaries, String deployment) {
        return summaries.stream()
                .filter(summary -> summary.text("deployment").equals(deployment))
                .filter(summary -> summary.figure("p99_ms").isPresent())
                .filter(summary -> summary.figure("added_p99_ms").isEmpty())
                .toList();
    }

    private List<Picture> draw() {
        if (summaries.isEmpty()) {
            return List.of();
        }
        List<String> scenarios = summaries.stream().map(Summary::scenario).distinct().toList();
        List<String> steady =
                scenarios.stream()
                        .filter(scenario -> scenario.startsWith(STEADY))
                        .sorted()
                        .toList();
        List<Picture> pictures = new ArrayList<>();
        if (steady.size() > 1) {
            Chart chart = chart("99th percentile by load", "ms", steady, "p99_ms");
            pictures.add(picture("p99-by-load", chart.title(), chart.lines()));
        }
        pictures.add(bars("p99", "99th percentile by scenario", "ms", scenarios, "p99_ms"));
        pictures.add(
                bars(
                        "over-limit",
                        "Share of runs that reached a server with all slots busy",
                        "share",
                        scenarios,
                        "over_limit_share"));
        pictures.add(
                bars("served", "Served in time, weighted", "share", scenarios, "served_weighted"));
        return pictures;
    }

    private Picture bars(String name, String title, String unit, List<String> places, String key) {
        Chart chart = chart(title, unit, places, key);
        return picture(name, chart.title(), chart.bars());
    }

    private Picture picture(String name, String title, String content) {
        return new Picture(deployment + "-" + name + ".svg", title, content);
    }

    private Chart chart(String title, String unit, List<String> places, String key) {
        List<Series> series = policies.stream().map(policy -> series(policy, places, key)).toList();
        return new Chart(title + " (" + deployment + ")", unit, places, series);
    }

    private Series series(String policy, List<String> places, String key) {
        return new Series(policy, places.stream().map(place -> value(policy, place, key)).toList());
    }

    private double value(String policy, String scenario, String key) {
        return summaries.stream()
                .filter(summary -> summary.policy().equals(policy))
                .filter(summary -> summary.scenario().equals(scenario))
                .findFirst()
                .flatMap(summary -> summary.figure(key))
                .map(Figure::median)
                .orElse(Double.NaN);
    }
}
