package org.siskinramp.standin.capacity;

import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Measures a configuration's memory, and the time to make the next one, by backend servers. */
final class ConfigurationSlope implements Slope {

    private static final int[] SERVERS = {500, 5_000, 30_000};
    private static final int SERVERS_PER_SERVICE = 38;

    @Override
    public void measure(EventLog output) {
        for (int servers : SERVERS) {
            int services = servers / SERVERS_PER_SERVICE + 1;
            Configuration base = Sample.configuration(services, servers);
            output.record(
                    LogEvent.named("slope")
                            .with("part", "configuration")
                            .with("backend_servers", servers)
                            .with("services", services)
                            .with(
                                    "bytes_per_backend_server",
                                    Measurement.bytesHeld(
                                                    () -> Sample.configuration(services, servers))
                                            / servers)
                            .with(
                                    "next_version_microseconds",
                                    Math.round(
                                            Measurement.medianMicroseconds(
                                                    () -> changeOneServer(base)))));
        }
    }

    private static void changeOneServer(Configuration base) {
        Configuration unused =
                base.toBuilder(2).backendServer(Sample.server(7, "service-0")).build();
    }
}
