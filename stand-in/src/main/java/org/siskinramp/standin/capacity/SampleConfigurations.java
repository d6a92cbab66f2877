package org.siskinramp.standin.capacity;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.request.RequestKind;
import org.siskinramp.slot.SlotMap;

/** Builds configurations with a given number of services and backend servers, and entry hosts. */
final class SampleConfigurations {

    static final int SLOTS_PER_SERVER = 4;
    static final RequestKind READ = new RequestKind("read", "GET", "/service-0", true, 1);
    static final RequestKind ORDER = new RequestKind("order", "POST", "/service-0", false, 1);

    private static final int AVAILABILITY_ZONES = 3;
    private static final long TIME_LIMIT_MILLISECONDS = 1_000;
    private static final int QUEUE_LIMIT = 500;

    private SampleConfigurations() {}

    static Configuration configuration(int services, int servers) {
        Configuration.Builder builder = Configuration.empty().toBuilder(1);
        for (int service = 0; service < services; service++) {
            builder.service(service("service-" + service));
        }
        for (int server = 0; server < servers; server++) {
            builder.backendServer(server(server, "service-" + server % services));
        }
        return builder.build();
    }

    static Service service(String name) {
        return new Service(
                name,
                "/" + name,
                TIME_LIMIT_MILLISECONDS,
                QUEUE_LIMIT,
                List.of(READ, ORDER),
                AdministrativeState.IN);
    }

    static BackendServer server(int number, String service) {
        return new BackendServer(
                "server-" + number,
                service,
                "host-" + number,
                availabilityZone(number),
                "10.0." + number / 250 % 250 + "." + number % 250 + ":8080",
                SLOTS_PER_SERVER,
                SLOTS_PER_SERVER,
                AdministrativeState.IN);
    }

    static String availabilityZone(int number) {
        return "zone-" + number % AVAILABILITY_ZONES;
    }

    static String host(int number) {
        return "entry-" + number;
    }

    static List<SlotMap.Candidate> candidates(int members) {
        List<SlotMap.Candidate> candidates = new ArrayList<>();
        for (int member = 0; member < members; member++) {
            candidates.add(new SlotMap.Candidate(host(member), availabilityZone(member)));
        }
        return candidates;
    }
}
