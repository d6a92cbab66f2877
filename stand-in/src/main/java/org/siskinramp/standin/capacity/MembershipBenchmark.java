package org.siskinramp.standin.capacity;

import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Measures how the processor time of the membership of a host grows with members and slots. */
final class MembershipBenchmark implements ScalingBenchmark {

    private static final int[] MEMBERS = {4, 8, 16, 32};
    private static final int[] SERVERS = {150, 600};
    private static final int MEASURED_SECONDS = 10;
    private static final int TICKS = 10_000;

    @Override
    public void measure(EventLog output) {
        MembershipCell warmUp =
                new MembershipCell(16, SampleConfigurations.configuration(10, SERVERS[0]));
        warmUp.runStartUp();
        warmUp.runSeconds(10 * MEASURED_SECONDS);
        for (int servers : SERVERS) {
            for (int members : MEMBERS) {
                output.record(line(servers, members));
            }
        }
    }

    private static LogEvent line(int servers, int members) {
        MembershipCell cell =
                new MembershipCell(members, SampleConfigurations.configuration(10, servers));
        cell.runStartUp();
        double cellMicroseconds =
                ResourceMeasurement.medianMicroseconds(() -> cell.runSeconds(MEASURED_SECONDS));
        double tickMicroseconds =
                ResourceMeasurement.medianMicroseconds(() -> cell.tickFirstHost(TICKS));
        return LogEvent.named("slope")
                .with("part", "membership")
                .with("members", members)
                .with("slots", servers * SampleConfigurations.SLOTS_PER_SERVER)
                .with("held_by_first", cell.slotsHeldByFirstHost())
                .with("tick_nanoseconds", Math.round(1_000 * tickMicroseconds / TICKS))
                .with(
                        "microseconds_per_host_and_second",
                        Math.round(cellMicroseconds / members / MEASURED_SECONDS));
    }
}
