package org.siskinramp.membership;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.platform.Platform;
import org.siskinramp.slot.SlotKey;

/** Runs entry hosts in virtual time and checks that no slot is in use by two of them. */
final class Deployment {

    private static final long SAMPLE_MILLISECONDS = 20;
    private static final int MOST_SLOTS = 5;
    private static final int SERVERS_PER_SERVICE = 3;
    private static final Map<String, Long> TIME_LIMITS =
            new TreeMap<>(Map.of("fast", 700L, "portal", 3_000L, "slow", 8_000L));

    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform();
    private final Random random;
    private final MembershipOptions options;
    private final Map<String, SimulatedHost> hosts = new TreeMap<>();
    private final List<SimulatedHost> incarnations = new ArrayList<>();
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> storeCuts = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final List<SlotKey> slots = new ArrayList<>();
    private Configuration configuration = Configuration.empty();
    private double disorder;
    private int startCount;

    Deployment(long seed, MembershipOptions options) {
        random = new Random(seed);
        this.options = options;
        for (String service : TIME_LIMITS.keySet()) {
            for (int server = 0; server < SERVERS_PER_SERVICE; server++) {
                for (int index = 0; index < MOST_SLOTS; index++) {
                    slots.add(new SlotKey(service + "-" + server, index));
                }
            }
        }
        time.after(0, this::sample);
        time.after(0, this::spreadConfiguration);
    }

    static String availabilityZone(String host) {
        return "zone-" + host.charAt(host.length() - 1) % 3;
    }

    void start(String host) {
        platform.list(host, availabilityZone(host));
        SimulatedHost started =
                new SimulatedHost(
                        host,
                        host + "/" + startCount++,
                        time,
                        reachedBy(host),
                        (to, message) -> send(host, to, message),
                        options,
                        slot -> timeLimit(slot),
                        this::readConfiguration,
                        random.nextLong());
        hosts.put(host, started);
        incarnations.add(started);
        started.start();
    }

    private static long timeLimit(SlotKey slot) {
        return TIME_LIMITS.get(slot.backendServer().split("-", 2)[0]);
    }

    void kill(String host) {
        hosts.remove(host).kill();
    }

    void configure() {
        Configuration.Builder builder = configuration.toBuilder(configuration.version() + 1);
        for (Map.Entry<String, Long> service : TIME_LIMITS.entrySet()) {
            String name = service.getKey();
            builder.service(
                    new Service(
                            name, "/" + name, service.getValue(), 9, List.of(), ServiceState.IN));
            for (int server = 0; server < SERVERS_PER_SERVICE; server++) {
                builder.backendServer(server(name + "-" + server, name, 4, ServiceState.IN));
            }
        }
        configuration = builder.build();
    }

    void changeConfiguration() {
        SlotKey chosen = slots.get(random.nextInt(slots.size()));
        String service = chosen.backendServer().split("-", 2)[0];
        ServiceState state = random.nextInt(3) == 0 ? ServiceState.REMOVED : ServiceState.IN;
        int count = 1 + random.nextInt(MOST_SLOTS);
        configuration =
                configuration.toBuilder(configuration.version() + 1)
                        .backendServer(server(chosen.backendServer(), service, count, state))
                        .build();
    }

    private static BackendServer server(
            String name, String service, int count, ServiceState state) {
        String zone = "zone-" + name.charAt(name.length() - 1) % 3;
        return new BackendServer(name, service, "host", zone, "127.0.0.1:1", count, 1, state);
    }

    private void spreadConfiguration() {
        time.after(100, this::spreadConfiguration);
        for (SimulatedHost host : hosts.values()) {
            if (random.nextInt(10) == 0) {
                readConfiguration(host);
            }
        }
    }

    private Platform reachedBy(String host) {
        return (Platform)
                Proxy.newProxyInstance(
                        Platform.class.getClassLoader(),
                        new Class<?>[] {Platform.class},
                        (proxy, method, arguments) ->
                                storeCuts.contains(host)
                                        ? FakePlatform.unavailable()
                                        : method.invoke(platform, arguments));
    }

    private void readConfiguration(SimulatedHost host) {
        Configuration newest = configuration;
        if (platform.isAvailable() && !storeCuts.contains(host.name())) {
            time.after(random.nextInt(100), () -> host.applyConfiguration(newest));
        }
    }

    private void send(String from, String to, PeerMessage message) {
        if (cuts.contains(from + ">" + to) || random.nextDouble() < disorder / 4) {
            return;
        }
        int copies = random.nextDouble() < disorder / 4 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            boolean late = random.nextDouble() < disorder / 4;
            long delay = 1L + random.nextInt(late ? 6_000 : 5);
            time.after(delay, () -> deliver(from, to, message));
        }
    }

    private void deliver(String from, String to, PeerMessage message) {
        SimulatedHost receiver = hosts.get(to);
        if (receiver != null) {
            receiver.receive(from, message);
        }
    }

    private void sample() {
        time.after(SAMPLE_MILLISECONDS, this::sample);
        incarnations.removeIf(host -> host.isDead() && slots.stream().noneMatch(host::isBusy));
        for (SlotKey slot : slots) {
            incarnations.forEach(host -> host.use(slot));
            List<String> busy =
                    incarnations.stream()
                            .filter(host -> host.isBusy(slot))
                            .map(SimulatedHost::name)
                            .toList();
            if (busy.size() > 1) {
                violations.add(time.now() + " " + slot + " " + busy);
            }
        }
    }

    /** Lists the slots of the newest configuration that nobody may use. */
    List<SlotKey> unusedSlots() {
        return slots.stream()
                .filter(
                        slot ->
                                configuration
                                        .backendServer(slot.backendServer())
                                        .filter(server -> slot.index() < server.slots())
                                        .isPresent())
                .filter(slot -> hosts.values().stream().noneMatch(host -> isUsable(host, slot)))
                .toList();
    }

    private static boolean isUsable(SimulatedHost host, SlotKey slot) {
        return host.membership().isUsable(slot);
    }

    void runFor(long milliseconds) {
        time.runUntil(time.now() + milliseconds);
    }

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void cutFromStore(String host) {
        storeCuts.add(host);
    }

    void heal() {
        cuts.clear();
        storeCuts.clear();
        disorder = 0;
        platform.available(true);
        platform.losingAnswers(false);
    }

    void disorder(double share) {
        disorder = share;
    }

    FakePlatform platform() {
        return platform;
    }

    SimulatedHost host(String name) {
        return hosts.get(name);
    }

    List<String> hostNames() {
        return List.copyOf(hosts.keySet());
    }

    long now() {
        return time.now();
    }

    List<String> violations() {
        return violations;
    }
}
