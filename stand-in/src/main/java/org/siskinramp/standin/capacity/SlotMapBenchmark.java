package org.siskinramp.standin.capacity;

import java.util.List;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.slot.SlotMap;

/** Measures how the time to compute the slot map, and its memory, grow with slots and members. */
final class SlotMapBenchmark implements ScalingBenchmark {

    private static final int[] MEMBERS = {8, 16, 32};
    private static final int[] SERVERS = {150, 600, 2_400};
    private static final int SERVERS_PER_SERVICE = 38;

    @Override
    public void measure(EventLog output) {
        for (int servers : SERVERS) {
            for (int members : MEMBERS) {
                output.record(line(servers, members));
            }
        }
    }

    private static LogEvent line(int servers, int members) {
        int services = (servers + SERVERS_PER_SERVICE - 1) / SERVERS_PER_SERVICE;
        Configuration configuration = SampleConfigurations.configuration(services, servers);
        Configuration extendedConfiguration =
                configuration.toBuilder(2)
                        .backendServer(SampleConfigurations.server(servers, "service-0"))
                        .build();
        List<SlotMap.Candidate> candidates = SampleConfigurations.candidates(members);
        SlotMap map = SlotMap.of(configuration, candidates);
        return LogEvent.named("slope")
                .with("part", "slot_map")
                .with("members", members)
                .with("slots", servers * SampleConfigurations.SLOTS_PER_SERVER)
                .with("services", services)
                .with(
                        "whole_microseconds",
                        Math.round(
                                ResourceMeasurement.medianMicroseconds(
                                        () -> SlotMap.of(configuration, candidates))))
                .with(
                        "one_server_more_microseconds",
                        Math.round(
                                ResourceMeasurement.medianMicroseconds(
                                        () -> map.recompute(extendedConfiguration, candidates))))
                .with(
                        "bytes_per_slot",
                        ResourceMeasurement.retainedBytes(
                                        () -> SlotMap.of(configuration, candidates))
                                / map.slots().size());
    }
}
