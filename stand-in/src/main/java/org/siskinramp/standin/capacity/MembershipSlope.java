package org.siskinramp.standin.capacity;

import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Measures the processor time of one host's membership by members and slots. */
final class MembershipSlope implements Slope {

    private static final int[] MEMBERS = {4, 8, 16, 32};
    private static final int[] SERVERS = {150, 600};
    private static final int MEASURED_SECONDS = 10;
    private static final int TICKS = 10_000;

    @Override
    public void measure(EventLog output) {
        MembershipCell warmUp = new MembershipCell(16, Sample.configuration(10, SERVERS[0]));
        warmUp.settle();
        warmUp.runSeconds(10 * MEASURED_SECONDS);
        for (int servers : SERVERS) {
            for (int members : MEMBERS) {
                output.record(line(servers, members));
            }
        }
    }

    private static LogEvent line(int servers, int members) {
        MembershipCell cell = new MembershipCell(members, Sample.configuration(10, servers));
        cell.settle();
        double all = Measurement.medianMicroseconds(() -> cell.runSeconds(MEASURED_SECONDS));
        double ticks = Measurement.medianMicroseconds(() -> cell.tickFirst(TICKS));
        return LogEvent.named("slope")
                .with("part", "membership")
                .with("members", members)
                .with("slots", servers * Sample.SLOTS_PER_SERVER)
                .with("held_by_first", cell.heldByFirst())
                .with("tick_nanoseconds", Math.round(1_000 * ticks / TICKS))
                .with(
                        "microseconds_per_host_and_second",
                        Math.round(all / members / MEASURED_SECONDS));
    }
}
