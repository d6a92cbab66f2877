package org.siskinramp.standin.capacity;

import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Measures the time of routing a request and the memory of a backend server by slots held. */
final class RoutingSlope implements Slope {

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
        Configuration configuration = Sample.configuration(1, servers);
        RoutingHost host = new RoutingHost(configuration);
        double all = Measurement.medianMicroseconds(() -> host.run(REQUESTS));
        double ticks = Measurement.medianMicroseconds(() -> host.tick(TICKS));
        long bytes = Measurement.bytesHeld(() -> new RoutingHost(configuration));
        return LogEvent.named("slope")
                .with("part", "routing")
                .with("slots", servers * Sample.SLOTS_PER_SERVER)
                .with("nanoseconds_per_request", Math.round(1_000 * all / REQUESTS))
                .with("answered", host.answered())
                .with("log_bytes_per_request", host.logBytes() / host.answered())
                .with("tick_nanoseconds", Math.round(1_000 * ticks / TICKS))
                .with("bytes_per_backend_server", bytes / servers);
    }
}
