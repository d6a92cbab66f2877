package org.siskinramp.standin.capacity;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.daemon.peer.FrameSize;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.peer.ServiceSpare;

/**
 * Measures the size of a heartbeat by its content, and the bytes per second that a host sends by
 * the number of members.
 */
final class HeartbeatBenchmark implements ScalingBenchmark {

    private static final int[] MEMBERS = {8, 16, 32};
    private static final int[] COLD_SERVERS = {0, 10};
    private static final int[] SERVICES_WITH_SPARES = {0, 1, 12};
    private static final int HEARTBEATS_PER_SECOND = 2;

    @Override
    public void measure(EventLog output) {
        for (int coldServers : COLD_SERVERS) {
            for (int servicesWithSpares : SERVICES_WITH_SPARES) {
                int bytes = FrameSize.bytesOf(heartbeat(coldServers, servicesWithSpares));
                for (int members : MEMBERS) {
                    output.record(line(coldServers, servicesWithSpares, members, bytes));
                }
            }
        }
    }

    private static LogEvent line(int coldServers, int servicesWithSpares, int members, int bytes) {
        return LogEvent.named("slope")
                .with("part", "heartbeat")
                .with("judged_cold_servers", coldServers)
                .with("spares", servicesWithSpares)
                .with("members", members)
                .with("frame_bytes", bytes)
                .with("bytes_per_second", bytes * HEARTBEATS_PER_SECOND * (members - 1));
    }

    private static Heartbeat heartbeat(int coldServers, int servicesWithSpares) {
        List<ServerAllowance> allowances = new ArrayList<>();
        for (int server = 0; server < coldServers; server++) {
            allowances.add(new ServerAllowance("server-" + (10_000 + server), 2, "7d1c2b90"));
        }
        List<ServiceSpare> serviceSpares = new ArrayList<>();
        for (int service = 0; service < servicesWithSpares; service++) {
            serviceSpares.add(new ServiceSpare("service-" + (100 + service), 20));
        }
        return new Heartbeat(
                "4f2a91c07d3e",
                86_400_000,
                7_012,
                22_004,
                List.of(new Acknowledgement("90bb1e6a4c55", 86_400_321)),
                List.of(),
                allowances,
                30,
                serviceSpares);
    }
}
