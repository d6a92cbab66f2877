package org.siskinramp.standin.capacity;

import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/**
 * Measures how the time to route a request and the memory for a backend server grow with the number
 * of slots that a host holds.
 */
final class RoutingBenchmark implements ScalingBenchmark {

    private static final int[] SERVERS = {5, 30, 150, 600};
    private static final int REQUESTS = 2_000;
    private static final int TICKS = 100;

    @Override
    public void measure(EventLog output) {
        for (int servers : SERVERS) {
            output.record(line(servers));
        }
    }

    private static LogEvent line(int servers) {
        Configuration configuration = SampleConfigurations.configuration(1, servers);
        RoutingHost host = new RoutingHost(configuration);
        double requestMicroseconds =
                ResourceMeasurement.medianMicroseconds(() -> host.submit(REQUESTS));
        double tickMicroseconds = ResourceMeasurement.medianMicroseconds(() -> host.tick(TICKS));
        long retainedBytes =
                ResourceMeasurement.retainedBytes(() -> new RoutingHost(configuration));
        return LogEvent.named("slope")
                .with("part", "routing")
                .with("slots", servers * SampleConfigurations.SLOTS_PER_SERVER)
                .with("nanoseconds_per_request", Math.round(1_000 * requestMicroseconds / REQUESTS))
                .with("answered", host.answered())
                .with("log_bytes_per_request", host.logBytes() / host.answered())
                .with("tick_nanoseconds", Math.round(1_000 * tickMicroseconds / TICKS))
                .with("bytes_per_backend_server", retainedBytes / servers);
    }
}
