package org.siskinramp.standin.measurement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.Json;
import org.siskinramp.standin.server.ExecutionStatistics;

/** The metrics of all entry hosts and the counters of all backend servers at one moment. */
final class Snapshot {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final long takenAtNanoseconds = System.nanoTime();
    private final Map<String, MetricsPage> hosts;
    private final List<ExecutionStatistics> executionStatistics;

    private Snapshot(
            Map<String, MetricsPage> hosts, List<ExecutionStatistics> executionStatistics) {
        this.hosts = hosts;
        this.executionStatistics = executionStatistics;
    }

    /**
     * Queries all processes. An entry host that does not answer, such as a killed one, is left out.
     */
    static Snapshot take(RunSettings.Processes processes, ControlClient control) {
        Map<String, MetricsPage> hosts = new HashMap<>();
        for (String address : processes.administrationAddresses()) {
            try {
                hosts.put(address, MetricsPage.of(control.get(address, "/metrics")));
            } catch (ResultException failure) {
                hosts.remove(address);
            }
        }
        List<ExecutionStatistics> executionStatistics =
                processes.servers().stream()
                        .map(server -> control.get(server, "/-/judge"))
                        .map(content -> Json.read(content, ExecutionStatistics.class))
                        .toList();
        return new Snapshot(hosts, executionStatistics);
    }

    int hostCount() {
        return hosts.size();
    }

    double secondsSince(Snapshot before) {
        return (takenAtNanoseconds - before.takenAtNanoseconds) / NANOSECONDS_PER_SECOND;
    }

    /** Returns the increase of a counter, summed over the entry hosts that answered both times. */
    double increase(Snapshot before, String metric) {
        return hosts.entrySet().stream()
                .filter(entry -> before.hosts.containsKey(entry.getKey()))
                .mapToDouble(
                        entry ->
                                entry.getValue().value(metric)
                                        - before.hosts.get(entry.getKey()).value(metric))
                .sum();
    }

    /** Returns the mean of a gauge over the entry hosts that answered. */
    double mean(String metric) {
        return hosts.values().stream().mapToDouble(page -> page.value(metric)).average().orElse(0);
    }

    long increase(Snapshot before, ToLongFunction<ExecutionStatistics> counter) {
        return sum(counter) - before.sum(counter);
    }

    private long sum(ToLongFunction<ExecutionStatistics> counter) {
        return executionStatistics.stream().mapToLong(counter).sum();
    }
}
