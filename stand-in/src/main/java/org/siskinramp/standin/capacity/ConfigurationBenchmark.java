package org.siskinramp.standin.capacity;

import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/**
 * Measures how the memory of a configuration, and the time to build the next version, grow with the
 * number of backend servers.
 */
final class ConfigurationBenchmark implements ScalingBenchmark {

    private static final int[] SERVERS = {500, 5_000, 30_000};
    private static final int SERVERS_PER_SERVICE = 38;

    @Override
    public void measure(EventLog output) {
        for (int servers : SERVERS) {
            int services = servers / SERVERS_PER_SERVICE + 1;
            Configuration base = SampleConfigurations.configuration(services, servers);
            output.record(
                    LogEvent.named("slope")
                            .with("part", "configuration")
                            .with("backend_servers", servers)
                            .with("services", services)
                            .with(
                                    "bytes_per_backend_server",
                                    ResourceMeasurement.retainedBytes(
                                                    () ->
                                                            SampleConfigurations.configuration(
                                                                    services, servers))
                                            / servers)
                            .with(
                                    "next_version_microseconds",
                                    Math.round(
                                            ResourceMeasurement.medianMicroseconds(
                                                    () -> changeOneServer(base)))));
        }
    }

    private static void changeOneServer(Configuration base) {
        Configuration unused =
                base.toBuilder(2)
                        .backendServer(SampleConfigurations.server(7, "service-0"))
                        .build();
    }
}
