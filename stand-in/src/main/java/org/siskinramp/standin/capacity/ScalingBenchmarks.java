package org.siskinramp.standin.capacity;

import java.util.Map;
import java.util.TreeMap;
import org.siskinramp.log.EventLog;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Runs the scaling benchmarks by name. */
public final class ScalingBenchmarks {

    private static final Map<String, ScalingBenchmark> BENCHMARKS =
            new TreeMap<>(
                    Map.of(
                            "slot-map", new SlotMapBenchmark(),
                            "heartbeat", new HeartbeatBenchmark(),
                            "membership", new MembershipBenchmark(),
                            "routing", new RoutingBenchmark(),
                            "claims", new ClaimBenchmark(),
                            "configuration", new ConfigurationBenchmark()));

    private ScalingBenchmarks() {}

    /**
     * Runs all benchmarks, or one.
     *
     * @param part the name of the part to measure, or an empty string for all
     * @param output the log for the results
     * @throws ResultException with {@code USAGE} if there is no such part
     */
    public static void measure(String part, EventLog output) {
        if (part.isEmpty()) {
            BENCHMARKS.values().forEach(benchmark -> benchmark.measure(output));
            return;
        }
        ScalingBenchmark benchmark = BENCHMARKS.get(part);
        if (benchmark == null) {
            throw new ResultException(
                    ResultCode.USAGE, "no part " + part + "; one of " + BENCHMARKS.keySet());
        }
        benchmark.measure(output);
    }
}
