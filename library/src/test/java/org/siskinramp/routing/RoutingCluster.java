package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Location;
import org.siskinramp.configuration.Service;
import org.siskinramp.ledger.SuspectRequests;
import org.siskinramp.ledger.SuspicionOptions;
import org.siskinramp.peer.AllowanceAsk;
import org.siskinramp.peer.AllowanceChange;
import org.siskinramp.peer.ColdSighting;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.peer.SuspectRequest;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.routing.ServiceRouter.CoordinatedServer;
import org.siskinramp.slot.SlotAuthority;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.time.VirtualTime;

/** Simulates the routing of several entry hosts in virtual time, with a fixed slot assignment. */
final class RoutingCluster {

    static final RequestKind READ = new RequestKind("read", "GET", "/portal", true, 1);
    static final RequestKind ORDER = new RequestKind("order", "POST", "/portal", false, 3);
    private static final long PEER_LATENCY_MILLISECONDS = 1;
    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 500;
    private static final long TICK_INTERVAL_MILLISECONDS = 50;

    final VirtualTime time = new VirtualTime();
    final FakeServers servers;
    final Map<String, ServiceRouters> hosts = new LinkedHashMap<>();
    final Map<String, SuspectRequests> suspectsByHost = new LinkedHashMap<>();
    final List<String> reportedCrashes = new ArrayList<>();
    final UniformRandomProvider random;
    Configuration configuration;
    long authorityUntil = Long.MAX_VALUE;
    boolean duplicatesMessages;
    int peerMessages;
    private int nextRequest = 1;

    RoutingCluster(int hostCount, int serverCount, int slots, long seed, RoutingOptions options) {
        this(
                hostCount,
                serverCount,
                slots,
                seed,
                options,
                random -> Math.round(-20 * Math.log(1 - random.nextDouble())) + 1);
    }

    /** Creates a cluster with a given distribution of the service time in milliseconds. */
    RoutingCluster(
            int hostCount,
            int serverCount,
            int slots,
            long seed,
            RoutingOptions options,
            ToLongFunction<UniformRandomProvider> serviceTime) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        servers = new FakeServers(time, () -> serviceTime.applyAsLong(random));
        Configuration.Builder builder = Configuration.empty().toBuilder(1);
        builder.service(
                new Service(
                        "portal",
                        "/portal",
                        2_000,
                        500,
                        List.of(READ, ORDER),
                        AdministrativeState.IN));
        for (int index = 1; index <= serverCount; index++) {
            String name = "server-" + index;
            servers.add(name, slots);
            builder.backendServer(
                    new BackendServer(
                            name,
                            "portal",
                            "host-" + index,
                            "zone-" + (index % 3 + 1),
                            "10.0.0." + index + ":80",
                            slots,
                            1,
                            AdministrativeState.IN));
        }
        configuration = builder.build();
        for (int index = 0; index < hostCount; index++) {
            addHost("entry-" + index, "zone-" + (index % 3 + 1), options);
        }
        assignSlots();
        hosts.values().forEach(routers -> routers.apply(configuration));
        time.schedule(TICK_INTERVAL_MILLISECONDS, this::tick);
        heartbeat();
    }

    private void addHost(String name, String availabilityZone, RoutingOptions options) {
        suspectsByHost.put(
                name,
                new SuspectRequests(
                        time,
                        event -> {},
                        SuspicionOptions.DEFAULT,
                        message ->
                                hosts.keySet().stream()
                                        .filter(host -> !host.equals(name))
                                        .forEach(host -> deliver(name, host, message))));
        RoutingEnvironment environment =
                new RoutingEnvironment(
                        name,
                        availabilityZone,
                        time,
                        time,
                        servers,
                        (host, message) -> deliver(name, host, message),
                        event -> {},
                        (counter, amount) -> {},
                        random,
                        new FixedSlotAuthority(),
                        slot -> {},
                        new RecordingSuspectTracker(suspectsByHost.get(name)));
        MessageRateLimiter rateLimiter =
                new MessageRateLimiter(time, options.loanMessagesPerSecond());
        hosts.put(
                name,
                new ServiceRouters(
                        service ->
                                new ServiceRouter(
                                        environment,
                                        options,
                                        service,
                                        rateLimiter,
                                        messengerOf(name))));
    }

    private ServiceRouter.AllowanceMessenger messengerOf(String from) {
        return new ServiceRouter.AllowanceMessenger() {
            @Override
            public void broadcastReduction(ServerAllowance allowance) {
                hosts.keySet().stream()
                        .filter(host -> !host.equals(from))
                        .forEach(
                                host ->
                                        deliver(
                                                from,
                                                host,
                                                new AllowanceChange(List.of(allowance))));
            }

            @Override
            public void reportColdSighting(String backendServer, String bootIdentity) {
                hosts.keySet()
                        .forEach(
                                host ->
                                        deliver(
                                                from,
                                                host,
                                                new ColdSighting(backendServer, bootIdentity)));
            }

            @Override
            public void requestAllowance(String backendServer) {
                hosts.keySet()
                        .forEach(host -> deliver(from, host, new AllowanceAsk(backendServer)));
            }
        };
    }

    private void deliver(String from, String to, PeerMessage message) {
        peerMessages++;
        time.schedule(PEER_LATENCY_MILLISECONDS, () -> receive(from, to, message));
        if (duplicatesMessages) {
            time.schedule(5 * PEER_LATENCY_MILLISECONDS, () -> receive(from, to, message));
        }
    }

    private void receive(String from, String to, PeerMessage message) {
        if (message instanceof SuspectRequest suspect) {
            suspectsByHost.get(to).receive(from, suspect);
        } else {
            hosts.get(to).receive(from, message);
        }
    }

    private void assignSlots() {
        List<String> names = List.copyOf(hosts.keySet());
        Map<String, Set<SlotKey>> held = new LinkedHashMap<>();
        int position = 0;
        for (int index = 0; ; index++) {
            int before = position;
            for (BackendServer server : configuration.backendServersOf("portal")) {
                if (index < server.slots()) {
                    held.computeIfAbsent(
                                    names.get(position++ % names.size()), name -> new HashSet<>())
                            .add(new SlotKey(server.name(), index));
                }
            }
            if (position == before) {
                break;
            }
        }
        held.forEach((name, slots) -> hosts.get(name).applyHoldings(new SlotHoldings(slots, 1, 1)));
    }

    private void tick() {
        hosts.values().forEach(ServiceRouters::tick);
        time.schedule(TICK_INTERVAL_MILLISECONDS, this::tick);
    }

    private void heartbeat() {
        long sentAt = time.monotonicMilliseconds();
        hosts.forEach(
                (from, sender) -> {
                    List<ServerAllowance> listed = new ArrayList<>();
                    List<String> omittedAsWarm = new ArrayList<>();
                    for (CoordinatedServer coordinated : sender.coordinatedServers()) {
                        if (coordinated.mayBeOmitted()) {
                            omittedAsWarm.add(coordinated.allowance().backendServer());
                        } else {
                            listed.add(coordinated.allowance());
                        }
                    }
                    var lendableSlots = sender.lendableSlots();
                    hosts.forEach(
                            (to, receiver) -> {
                                if (!to.equals(from)) {
                                    receiver.applyAllowances(listed, omittedAsWarm, sentAt);
                                    receiver.updateLendableSlots(from, lendableSlots);
                                }
                            });
                });
        time.schedule(HEARTBEAT_INTERVAL_MILLISECONDS, this::heartbeat);
    }

    /** Returns the allowance of a server at its warm-up coordinator, or -1 without one. */
    int allowanceAtCoordinator(String backendServer) {
        return hosts.values().stream()
                .flatMap(routers -> routers.coordinatedServers().stream())
                .map(CoordinatedServer::allowance)
                .filter(allowance -> allowance.backendServer().equals(backendServer))
                .mapToInt(ServerAllowance::allowance)
                .findFirst()
                .orElse(-1);
    }

    /** Applies a configuration that takes an availability zone out of service or back in. */
    void setAvailabilityZone(String name, AdministrativeState state) {
        configuration =
                configuration.toBuilder(configuration.version() + 1)
                        .availabilityZone(new Location(name, state))
                        .build();
        hosts.values().forEach(routers -> routers.apply(configuration));
    }

    RoutedRequest send(String host, RequestKind kind, String target, long timeMilliseconds) {
        long now = time.monotonicMilliseconds();
        String id = "request-" + nextRequest++;
        Request request =
                Request.builder()
                        .key(new RequestKey("crew-1", id))
                        .service("portal")
                        .kind(kind)
                        .method(kind.method())
                        .target(target)
                        .contentHash("hash-of-" + target)
                        .arrivedMilliseconds(now)
                        .deadlineMilliseconds(now + timeMilliseconds)
                        .build();
        return hosts.get(host).of("portal").orElseThrow().submit(request);
    }

    private final class FixedSlotAuthority implements SlotAuthority {

        @Override
        public boolean isUsable(SlotKey slot) {
            return time.monotonicMilliseconds() < authorityUntil;
        }

        @Override
        public long authorityUntilMilliseconds() {
            return authorityUntil;
        }
    }

    /** Records the crashes that one host reports. */
    private final class RecordingSuspectTracker implements CrashSuspectTracker {

        private final SuspectRequests suspects;

        private RecordingSuspectTracker(SuspectRequests suspects) {
            this.suspects = suspects;
        }

        @Override
        public boolean mustRunAlone(String contentHash) {
            return suspects.mustRunAlone(contentHash);
        }

        @Override
        public boolean isQuarantined(String contentHash) {
            return suspects.isQuarantined(contentHash);
        }

        @Override
        public void recordBrokenConnection(String contentHash, String backendServer) {
            suspects.recordBrokenConnection(contentHash, backendServer);
        }

        @Override
        public void recordCrash(String contentHash, String backendServer) {
            reportedCrashes.add(contentHash);
            suspects.recordCrash(contentHash, backendServer);
        }

        @Override
        public void recordCompletion(String contentHash) {
            suspects.recordCompletion(contentHash);
        }
    }
}
