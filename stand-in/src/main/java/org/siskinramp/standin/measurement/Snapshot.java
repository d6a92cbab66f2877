package org.siskinramp.standin.measurement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.Json;
import org.siskinramp.standin.server.Verdict;

/** Holds the counters of all entry hosts and backend servers at one moment. */
final class Snapshot {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final long atNanoseconds = System.nanoTime();
    private final Map<String, MetricsPage> hosts;
    private final List<Verdict> verdicts;

    private Snapshot(Map<String, MetricsPage> hosts, List<Verdict> verdicts) {
        this.hosts = hosts;
        this.verdicts = verdicts;
    }

    /** Asks everyone; an entry host that does not answer is left out. */
    static Snapshot take(RunSettings.Processes processes, ControlClient control) {
        Map<String, MetricsPage> hosts = new HashMap<>();
        for (String address : processes.administrations()) {
            try {
                hosts.put(address, MetricsPage.of(control.get(address, "/metrics")));
            } catch (ResultException failure) {
                hosts.remove(address);
            }
        }
        List<Verdict> verdicts =
                processes.servers().stream()
                        .map(server -> control.get(server, "/-/judge"))
                        .map(content -> Json.read(content, Verdict.class))
                        .toList();
        return new Snapshot(hosts, verdicts);
    }

    int hosts() {
        return hosts.size();
    }

    double secondsSince(Snapshot before) {
        return (atNanoseconds - before.atNanoseconds) / NANOSECONDS_PER_SECOND;
    }

    /** Returns by how much a counter rose on the entry hosts that answered both times. */
    double rise(Snapshot before, String metric) {
        return hosts.entrySet().stream()
                .filter(entry -> before.hosts.containsKey(entry.getKey()))
                .mapToDouble(
                        entry ->
                                entry.getValue().value(metric)
                                        - before.hosts.get(entry.getKey()).value(metric))
                .sum();
    }

    /** Returns the mean of a gauge over the entry hosts. */
    double mean(String metric) {
        return hosts.values().stream().mapToDouble(page -> page.value(metric)).average().orElse(0);
    }

    long rise(Snapshot before, ToLongFunction<Verdict> count) {
        return sum(count) - before.sum(count);
    }

    private long sum(ToLongFunction<Verdict> count) {
        return verdicts.stream().mapToLong(count).sum();
    }
}
