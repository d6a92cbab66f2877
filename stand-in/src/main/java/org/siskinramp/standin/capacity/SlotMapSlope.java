package org.siskinramp.standin.capacity;

import java.util.List;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.slot.SlotMap;

/** Measures the map of slots by slots and members. */
final class SlotMapSlope implements Slope {

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
        Configuration configuration = Sample.configuration(services, servers);
        Configuration changed =
                configuration.toBuilder(2)
                        .backendServer(Sample.server(servers, "service-0"))
                        .build();
        List<SlotMap.Candidate> candidates = Sample.candidates(members);
        SlotMap map = SlotMap.of(configuration, candidates);
        return LogEvent.named("slope")
                .with("part", "slot_map")
                .with("members", members)
                .with("slots", servers * Sample.SLOTS_PER_SERVER)
                .with("services", services)
                .with(
                        "whole_microseconds",
                        Math.round(
                                Measurement.medianMicroseconds(
                                        () -> SlotMap.of(configuration, candidates))))
                .with(
                        "one_server_more_microseconds",
                        Math.round(
                                Measurement.medianMicroseconds(
                                        () -> map.recompute(changed, candidates))))
                .with(
                        "bytes_per_slot",
                        Measurement.bytesHeld(() -> SlotMap.of(configuration, candidates))
                                / map.slots().size());
    }
}
