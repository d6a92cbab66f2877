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
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Place;
import org.siskinramp.configuration.Service;
import org.siskinramp.configuration.ServiceState;
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
import org.siskinramp.routing.ServiceRouter.JudgedServer;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.slot.SlotRights;
import org.siskinramp.time.VirtualTime;

/** Runs the routing of several entry hosts with fixed homes of slots under virtual time. */
final class RoutingCell {

    static final RequestKind READ = new RequestKind("read", "GET", "/portal", true, 1);
    static final RequestKind ORDER = new RequestKind("order", "POST", "/portal", false, 3);
    private static final long PEER_DISTANCE_MILLISECONDS = 1;
    private static final long HEARTBEAT_MILLISECONDS = 500;
    private static final long TICK_MILLISECONDS = 50;

    final VirtualTime time = new VirtualTime();
    final FakeServers servers;
    final Map<String, ServiceRouters> hosts = new LinkedHashMap<>();
    final Map<String, SuspectRequests> suspects = new LinkedHashMap<>();
    final List<String> stops = new ArrayList<>();
    final UniformRandomProvider random;
    Configuration configuration;
    long authorityUntil = Long.MAX_VALUE;
    boolean repeatsMessages;
    int peerMessages;
    private int nextRequest = 1;

    RoutingCell(int hostCount, int serverCount, int slots, long seed, RoutingOptions options) {
        this(
                hostCount,
                serverCount,
                slots,
                seed,
                options,
                random -> Math.round(-20 * Math.log(1 - random.nextDouble())) + 1);
    }

    /** Lets the test choose how long the work of a request takes, in milliseconds. */
    RoutingCell(
            int hostCount,
            int serverCount,
            int slots,
            long seed,
            RoutingOptions options,
            ToLongFunction<UniformRandomProvider> work) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        servers = new FakeServers(time, () -> work.applyAsLong(random));
        Configuration.Builder builder = Configuration.empty().toBuilder(1);
        builder.service(
                new Service(
                        "portal", "/portal", 2_000, 500, List.of(READ, ORDER), ServiceState.IN));
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
                            ServiceState.IN));
        }
        configuration = builder.build();
        for (int index = 0; index < hostCount; index++) {
            addHost("entry-" + index, "zone-" + (index % 3 + 1), options);
        }
        assignSlots();
        hosts.values().forEach(routers -> routers.apply(configuration));
        time.schedule(TICK_MILLISECONDS, this::tick);
        heartbeat();
    }

    private void addHost(String name, String availabilityZone, RoutingOptions options) {
        suspects.put(
                name,
                new SuspectRequests(
                        time,
                        event -> {},
                        SuspicionOptions.DEFAULT,
                        word ->
                                hosts.keySet().stream()
                                        .filter(host -> !host.equals(name))
                                        .forEach(host -> deliver(name, host, word))));
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
                        new Rights(),
                        slot -> {},
                        new Suspicion(suspects.get(name)));
        MessageBudget budget = new MessageBudget(time, options.loanMessagesPerSecond());
        hosts.put(
                name,
                new ServiceRouters(
                        service ->
                                new ServiceRouter(
                                        environment, options, service, budget, words(name))));
    }

    private ServiceRouter.ServerWords words(String from) {
        return new ServiceRouter.ServerWords() {
            @Override
            public void tellReduction(ServerAllowance allowance) {
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
            public void tellSighting(String backendServer, String bootIdentity) {
                hosts.keySet()
                        .forEach(
                                host ->
                                        deliver(
                                                from,
                                                host,
                                                new ColdSighting(backendServer, bootIdentity)));
            }

            @Override
            public void askForWord(String backendServer) {
                hosts.keySet()
                        .forEach(host -> deliver(from, host, new AllowanceAsk(backendServer)));
            }
        };
    }

    private void deliver(String from, String to, PeerMessage message) {
        peerMessages++;
        time.schedule(PEER_DISTANCE_MILLISECONDS, () -> receive(from, to, message));
        if (repeatsMessages) {
            time.schedule(5 * PEER_DISTANCE_MILLISECONDS, () -> receive(from, to, message));
        }
    }

    private void receive(String from, String to, PeerMessage message) {
        if (message instanceof SuspectRequest word) {
            suspects.get(to).receive(from, word);
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
        held.forEach((name, slots) -> hosts.get(name).hold(new SlotHoldings(slots, 1, 1)));
    }

    private void tick() {
        hosts.values().forEach(ServiceRouters::tick);
        time.schedule(TICK_MILLISECONDS, this::tick);
    }

    private void heartbeat() {
        long given = time.monotonicMilliseconds();
        hosts.forEach(
                (from, sender) -> {
                    List<ServerAllowance> explicit = new ArrayList<>();
                    List<String> implicit = new ArrayList<>();
                    for (JudgedServer judged : sender.judgedServers()) {
                        if (judged.warm()) {
                            implicit.add(judged.allowance().backendServer());
                        } else {
                            explicit.add(judged.allowance());
                        }
                    }
                    var spares = sender.spares();
                    hosts.forEach(
                            (to, receiver) -> {
                                if (!to.equals(from)) {
                                    receiver.hearWords(explicit, implicit, given);
                                    receiver.hearSpares(from, spares);
                                }
                            });
                });
        time.schedule(HEARTBEAT_MILLISECONDS, this::heartbeat);
    }

    /** Returns how many slots of a server its judge lets be used. */
    int judgedAllowance(String backendServer) {
        return hosts.values().stream()
                .flatMap(routers -> routers.judgedServers().stream())
                .map(JudgedServer::allowance)
                .filter(allowance -> allowance.backendServer().equals(backendServer))
                .mapToInt(ServerAllowance::allowance)
                .findFirst()
                .orElse(-1);
    }

    /** Files a ticket that takes an availability zone out or brings it back. */
    void setAvailabilityZone(String name, ServiceState state) {
        configuration =
                configuration.toBuilder(configuration.version() + 1)
                        .availabilityZone(new Place(name, state))
                        .build();
        hosts.values().forEach(routers -> routers.apply(configuration));
    }

    RequestRun send(String host, RequestKind kind, String target, long timeMilliseconds) {
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
        return hosts.get(host).of("portal").orElseThrow().run(request);
    }

    private final class Rights implements SlotRights {

        @Override
        public boolean isUsable(SlotKey slot) {
            return time.monotonicMilliseconds() < authorityUntil;
        }

        @Override
        public long authorityUntilMilliseconds() {
            return authorityUntil;
        }
    }

    /** Records the stops that one host reports. */
    private final class Suspicion implements RequestSuspicion {

        private final SuspectRequests host;

        private Suspicion(SuspectRequests host) {
            this.host = host;
        }

        @Override
        public boolean mustRunAlone(String contentHash) {
            return host.mustRunAlone(contentHash);
        }

        @Override
        public boolean isQuarantined(String contentHash) {
            return host.isQuarantined(contentHash);
        }

        @Override
        public void connectionBroke(String contentHash, String backendServer) {
            host.connectionBroke(contentHash, backendServer);
        }

        @Override
        public void serverStopped(String contentHash, String backendServer) {
            stops.add(contentHash);
            host.serverStopped(contentHash, backendServer);
        }

        @Override
        public void ranToEnd(String contentHash) {
            host.ranToEnd(contentHash);
        }
    }
}
