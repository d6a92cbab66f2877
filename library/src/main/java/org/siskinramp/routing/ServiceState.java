package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.health.LatencyWindow;
import org.siskinramp.health.ServerHealth;
import org.siskinramp.queue.WaitingQueue;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.warmth.ServerWarmth;

/** Holds the tables of one service. It is guarded by the lock of the service. */
final class ServiceState {

    private static final long EXPECTED_LATENCY_MILLISECONDS = 20;
    private static final double MEDIAN = 0.5;
    private static final double LARGEST_EJECTED_SHARE = 0.5;

    private final RoutingEnvironment environment;
    private final RoutingOptions options;
    private final Map<String, ServerState> servers = new TreeMap<>();
    private final SlotTable slots = new SlotTable();
    private final WaitingQueue<RequestRun> queue = new WaitingQueue<>();
    private final LatencyWindow latencies = new LatencyWindow();
    private final Isolation isolation = new Isolation(this);
    private Service service;

    ServiceState(RoutingEnvironment environment, RoutingOptions options, Service service) {
        this.environment = environment;
        this.options = options;
        this.service = service;
    }

    RoutingEnvironment environment() {
        return environment;
    }

    RoutingOptions options() {
        return options;
    }

    Service service() {
        return service;
    }

    Map<String, ServerState> servers() {
        return servers;
    }

    SlotTable slots() {
        return slots;
    }

    WaitingQueue<RequestRun> queue() {
        return queue;
    }

    LatencyWindow latencies() {
        return latencies;
    }

    Isolation isolation() {
        return isolation;
    }

    boolean mustRunAlone(RequestRun run) {
        return environment.requestSuspicion().mustRunAlone(run.request().contentHash());
    }

    boolean isQuarantined(RequestRun run) {
        return environment.requestSuspicion().isQuarantined(run.request().contentHash());
    }

    long now() {
        return environment.clock().monotonicMilliseconds();
    }

    /**
     * Follows a configuration.
     *
     * @param configuration the configuration, which has this service
     */
    void follow(Configuration configuration) {
        service = configuration.service(service.name()).orElse(service);
        long now = now();
        List<String> present = new ArrayList<>();
        configuration
                .backendServersOf(service.name())
                .forEach(
                        server -> {
                            present.add(server.name());
                            boolean takesNewWork = configuration.takesNewWork(server);
                            ServerState known = servers.get(server.name());
                            if (known == null) {
                                servers.put(
                                        server.name(),
                                        new ServerState(
                                                server,
                                                takesNewWork,
                                                new ServerHealth(EXPECTED_LATENCY_MILLISECONDS),
                                                new ServerWarmth(
                                                        options.warmth(),
                                                        server.slots(),
                                                        server.coldSlots(),
                                                        now)));
                            } else {
                                known.change(server, takesNewWork, now);
                            }
                        });
        servers.keySet().retainAll(present);
    }

    /**
     * Returns the typical latency of the service.
     *
     * @return the median in milliseconds
     */
    long typicalLatencyMilliseconds() {
        return latencies.quantile(MEDIAN, EXPECTED_LATENCY_MILLISECONDS);
    }

    /**
     * Tells whether one more server may be ejected.
     *
     * @param now monotonic milliseconds
     * @return true while fewer than half of the servers are ejected
     */
    boolean mayEject(long now) {
        long ejected =
                servers.values().stream()
                        .filter(server -> !server.health().isEligible(now))
                        .count();
        return ejected + 1 <= servers.size() * LARGEST_EJECTED_SHARE;
    }

    boolean hasServerForNewWork() {
        return servers.values().stream().anyMatch(ServerState::takesNewWork);
    }

    boolean hasUntriedServer(RequestRun run) {
        return servers.values().stream()
                .anyMatch(
                        server ->
                                server.takesNewWork()
                                        && !run.hasTried(server.backendServer().name()));
    }

    /**
     * Lists the slots in which this host may start a request now, without regard to a particular
     * request.
     *
     * @param now monotonic milliseconds
     * @return the usable slots
     */
    List<Slot> usableSlots(long now) {
        return startableSlots(now)
                .filter(slot -> !isolation.isReserved(slot.key().backendServer(), now))
                .toList();
    }

    private Stream<Slot> startableSlots(long now) {
        return slots.startable(now, environment.slotRights().authorityUntilMilliseconds()).stream()
                .filter(slot -> isUsable(slot, now));
    }

    boolean hasUsableSlot(long now) {
        return !options.areSlotsOwned() || startableSlots(now).findAny().isPresent();
    }

    private boolean isUsable(Slot slot, long now) {
        ServerState server = servers.get(slot.key().backendServer());
        return server != null
                && server.takesNewWork()
                && server.health().isEligible(now)
                && (slot.isBorrowed() || slot.key().index() < server.warmth().allowance(now));
    }

    /**
     * Chooses the slot for a request.
     *
     * @param run the request
     * @param now monotonic milliseconds
     * @return the slot, or empty if the request has to wait
     */
    Optional<Slot> chooseSlot(RequestRun run, long now) {
        Map<String, Slot> byServer = new TreeMap<>();
        for (Slot slot : mustRunAlone(run) ? aloneSlots(now) : ordinarySlots(now)) {
            String server = slot.key().backendServer();
            if (!run.hasTried(server)) {
                byServer.putIfAbsent(server, slot);
            }
        }
        if (byServer.isEmpty()) {
            return Optional.empty();
        }
        double typical = (double) typicalLatencyMilliseconds();
        List<ServerCandidate> candidates =
                byServer.keySet().stream()
                        .map(
                                name ->
                                        servers.get(name)
                                                .candidate(
                                                        environment.availabilityZone(),
                                                        now,
                                                        typical))
                        .toList();
        int chosen = options.serverChoice().choose(candidates, environment.random());
        return Optional.of(byServer.get(candidates.get(chosen).backendServer()));
    }

    private List<Slot> aloneSlots(long now) {
        Stream<Slot> all =
                options.areSlotsOwned() ? startableSlots(now) : unownedSlots(now).stream();
        return all.filter(slot -> isolation.isAlone(slot, now)).toList();
    }

    private List<Slot> ordinarySlots(long now) {
        return options.areSlotsOwned() ? usableSlots(now) : unownedSlots(now);
    }

    /**
     * Tells which start of the server a request in a slot must reach. A slot that a cold server
     * bears may be used with any start.
     *
     * @param slot the slot
     * @param server its server
     * @return the boot identity, or an empty string
     */
    String expectedBootIdentity(Slot slot, ServerState server) {
        if (slot.isBorrowed()) {
            return slot.bootIdentity();
        }
        boolean coldSlot = slot.key().index() < server.backendServer().coldSlots();
        return coldSlot || !options.areSlotsOwned() ? "" : server.warmth().bootIdentity();
    }

    private List<Slot> unownedSlots(long now) {
        return servers.values().stream()
                .filter(server -> server.takesNewWork() && server.health().isEligible(now))
                .map(server -> Slot.own(new SlotKey(server.backendServer().name(), 0)))
                .toList();
    }
}
