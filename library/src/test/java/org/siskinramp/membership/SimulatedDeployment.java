package org.siskinramp.membership;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.FakePlatform.Fault;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.time.VirtualTime;

/** Simulates a deployment in virtual time and checks that no two entry hosts use a slot at once. */
final class SimulatedDeployment {

    private static final long SAMPLE_INTERVAL_MILLISECONDS = 20;
    private static final int MAXIMUM_SLOTS = 5;
    private static final int SERVERS_PER_SERVICE = 3;
    private static final Map<String, Long> TIME_LIMITS_MILLISECONDS =
            new TreeMap<>(Map.of("fast", 700L, "portal", 3_000L, "slow", 8_000L));

    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform(time);
    private final Map<String, ListedHost> listed = new TreeMap<>();
    private final Random random;
    private final MembershipOptions options;
    private final Map<String, SimulatedHost> hosts = new TreeMap<>();
    private final List<SimulatedHost> incarnations = new ArrayList<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Set<String> hostsCutFromStore = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final List<SlotKey> slots = new ArrayList<>();
    private Configuration configuration = Configuration.empty();
    private double messageFaultShare;
    private boolean storeDown;
    private int startCount;

    SimulatedDeployment(long seed, MembershipOptions options) {
        random = new Random(seed);
        this.options = options;
        for (String service : TIME_LIMITS_MILLISECONDS.keySet()) {
            for (int server = 0; server < SERVERS_PER_SERVICE; server++) {
                for (int index = 0; index < MAXIMUM_SLOTS; index++) {
                    slots.add(new SlotKey(service + "-" + server, index));
                }
            }
        }
        platform.setLatencyMilliseconds(1);
        time.schedule(0, this::sample);
        time.schedule(0, this::pollConfiguration);
    }

    static String availabilityZone(String host) {
        return "zone-" + host.charAt(host.length() - 1) % 3;
    }

    void start(String host) {
        list(host);
        SimulatedHost started =
                new SimulatedHost(
                        host,
                        host + "/" + startCount++,
                        time,
                        platformOf(host),
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
        String server = slot.backendServer();
        return TIME_LIMITS_MILLISECONDS.get(server.substring(0, server.indexOf('-')));
    }

    void list(String host) {
        listed.put(host, new ListedHost(host, availabilityZone(host), "127.0.0.1:1", false));
        platform.setHosts(List.copyOf(listed.values()));
    }

    void unlist(String host) {
        listed.remove(host);
        platform.setHosts(List.copyOf(listed.values()));
    }

    void setStoreDown(boolean isDown) {
        storeDown = isDown;
        platform.setDown(isDown);
    }

    void setStoreLosesAnswers(boolean isLosing) {
        platform.setDefaultFault(() -> isLosing ? Fault.ANSWER_LOST : Fault.NONE);
    }

    void kill(String host) {
        hosts.remove(host).kill();
    }

    void configureServices() {
        Configuration.Builder builder = configuration.toBuilder(configuration.version() + 1);
        for (Map.Entry<String, Long> service : TIME_LIMITS_MILLISECONDS.entrySet()) {
            String name = service.getKey();
            builder.service(
                    new Service(
                            name,
                            "/" + name,
                            service.getValue(),
                            9,
                            List.of(),
                            AdministrativeState.IN));
            for (int server = 0; server < SERVERS_PER_SERVICE; server++) {
                builder.backendServer(server(name + "-" + server, name, 4, AdministrativeState.IN));
            }
        }
        configuration = builder.build();
    }

    void changeConfiguration() {
        SlotKey chosen = slots.get(random.nextInt(slots.size()));
        String service = chosen.backendServer().split("-", 2)[0];
        AdministrativeState state =
                random.nextInt(3) == 0 ? AdministrativeState.REMOVED : AdministrativeState.IN;
        int count = 1 + random.nextInt(MAXIMUM_SLOTS);
        configuration =
                configuration.toBuilder(configuration.version() + 1)
                        .backendServer(server(chosen.backendServer(), service, count, state))
                        .build();
    }

    private static BackendServer server(
            String name, String service, int count, AdministrativeState state) {
        String zone = "zone-" + name.charAt(name.length() - 1) % 3;
        return new BackendServer(name, service, "host", zone, "127.0.0.1:1", count, 1, state);
    }

    private void pollConfiguration() {
        time.schedule(100, this::pollConfiguration);
        for (SimulatedHost host : hosts.values()) {
            if (random.nextInt(10) == 0) {
                readConfiguration(host);
            }
        }
    }

    private Platform platformOf(String host) {
        return (Platform)
                Proxy.newProxyInstance(
                        Platform.class.getClassLoader(),
                        new Class<?>[] {Platform.class},
                        (proxy, method, arguments) ->
                                hostsCutFromStore.contains(host)
                                        ? unavailable()
                                        : method.invoke(platform, arguments));
    }

    private static CompletableFuture<Object> unavailable() {
        return CompletableFuture.failedFuture(
                new ResultException(ResultCode.PLATFORM_UNAVAILABLE, "cut off"));
    }

    private void readConfiguration(SimulatedHost host) {
        Configuration newest = configuration;
        if (!storeDown && !hostsCutFromStore.contains(host.name())) {
            time.schedule(random.nextInt(100), () -> host.applyConfiguration(newest));
        }
    }

    private void send(String from, String to, PeerMessage message) {
        if (cutLinks.contains(from + ">" + to) || random.nextDouble() < messageFaultShare / 4) {
            return;
        }
        int copies = random.nextDouble() < messageFaultShare / 4 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            boolean late = random.nextDouble() < messageFaultShare / 4;
            long delay = 1L + random.nextInt(late ? 6_000 : 5);
            time.schedule(delay, () -> deliver(from, to, message));
        }
    }

    private void deliver(String from, String to, PeerMessage message) {
        SimulatedHost receiver = hosts.get(to);
        if (receiver != null) {
            receiver.receive(from, message);
        }
    }

    private void sample() {
        time.schedule(SAMPLE_INTERVAL_MILLISECONDS, this::sample);
        incarnations.removeIf(host -> host.isDead() && host.busySlots().isEmpty());
        incarnations.forEach(SimulatedHost::startRequests);
        for (SimulatedHost host : incarnations) {
            if (!host.hasMonotonicVersions()) {
                violations.add(now() + " versions fell on " + host.name());
            }
        }
        Map<SlotKey, String> users = new HashMap<>();
        for (SimulatedHost host : incarnations) {
            for (SlotKey slot : host.busySlots()) {
                String other = users.put(slot, host.name());
                if (other != null) {
                    violations.add(now() + " " + slot + " " + other + " " + host.name());
                }
            }
        }
    }

    /** Returns the slots of the newest configuration that no host may use. */
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
        time.advance(milliseconds);
    }

    void cutLink(String from, String to) {
        cutLinks.add(from + ">" + to);
    }

    void cutFromStore(String host) {
        hostsCutFromStore.add(host);
    }

    void heal() {
        cutLinks.clear();
        hostsCutFromStore.clear();
        messageFaultShare = 0;
        setStoreDown(false);
        setStoreLosesAnswers(false);
    }

    void setMessageFaultShare(double share) {
        messageFaultShare = share;
    }

    SimulatedHost host(String name) {
        return hosts.get(name);
    }

    List<String> hostNames() {
        return List.copyOf(hosts.keySet());
    }

    long now() {
        return time.monotonicMilliseconds();
    }

    List<String> violations() {
        return violations;
    }
}
