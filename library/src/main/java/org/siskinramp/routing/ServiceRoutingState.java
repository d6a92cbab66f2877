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
import org.siskinramp.warmth.ServerWarmUp;

/**
 * Holds the routing state of one service: its servers, slots, queue and latencies. It is guarded by
 * the lock of the service.
 */
final class ServiceRoutingState {

    private static final long INITIAL_LATENCY_ESTIMATE_MILLISECONDS = 20;
    private static final double MEDIAN = 0.5;
    private static final double MAXIMUM_EJECTED_SHARE = 0.5;

    private final RoutingEnvironment environment;
    private final RoutingOptions options;
    private final Map<String, ServerState> servers = new TreeMap<>();
    private final SlotTable slots = new SlotTable();
    private final WaitingQueue<RoutedRequest> queue = new WaitingQueue<>();
    private final LatencyWindow latencies = new LatencyWindow();
    private final Isolation isolation = new Isolation(this);
    private Service service;

    ServiceRoutingState(RoutingEnvironment environment, RoutingOptions options, Service service) {
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

    WaitingQueue<RoutedRequest> queue() {
        return queue;
    }

    LatencyWindow latencies() {
        return latencies;
    }

    Isolation isolation() {
        return isolation;
    }

    boolean mustRunAlone(RoutedRequest routed) {
        return environment.crashSuspectTracker().mustRunAlone(routed.request().contentHash());
    }

    boolean isQuarantined(RoutedRequest routed) {
        return environment.crashSuspectTracker().isQuarantined(routed.request().contentHash());
    }

    long now() {
        return environment.clock().monotonicMilliseconds();
    }

    /**
     * Applies a configuration.
     *
     * @param configuration the configuration
     */
    void applyConfiguration(Configuration configuration) {
        service = configuration.service(service.name()).orElse(service);
        long now = now();
        List<String> presentServers = new ArrayList<>();
        configuration
                .backendServersOf(service.name())
                .forEach(
                        server -> {
                            presentServers.add(server.name());
                            boolean takesNewWork = configuration.takesNewWork(server);
                            ServerState existing = servers.get(server.name());
                            if (existing == null) {
                                servers.put(
                                        server.name(),
                                        new ServerState(
                                                server,
                                                takesNewWork,
                                                new ServerHealth(
                                                        INITIAL_LATENCY_ESTIMATE_MILLISECONDS),
                                                new ServerWarmUp(
                                                        options.warmUp(),
                                                        server.slots(),
                                                        server.coldSlots(),
                                                        now)));
                            } else {
                                existing.applyConfiguration(server, takesNewWork, now);
                            }
                        });
        servers.keySet().retainAll(presentServers);
    }

    /**
     * Returns the typical latency of the service.
     *
     * @return the median latency in milliseconds
     */
    long typicalLatencyMilliseconds() {
        return latencies.quantile(MEDIAN, INITIAL_LATENCY_ESTIMATE_MILLISECONDS);
    }

    /**
     * Tells whether one more server may be ejected.
     *
     * @param now monotonic milliseconds
     * @return true if no more than half of the servers would then be ejected
     */
    boolean mayEject(long now) {
        long ejected =
                servers.values().stream()
                        .filter(server -> !server.health().isEligible(now))
                        .count();
        return ejected + 1 <= servers.size() * MAXIMUM_EJECTED_SHARE;
    }

    boolean hasServerForNewWork() {
        return servers.values().stream().anyMatch(ServerState::takesNewWork);
    }

    boolean hasUntriedServer(RoutedRequest routed) {
        return servers.values().stream()
                .anyMatch(
                        server ->
                                server.takesNewWork()
                                        && !routed.hasTried(server.backendServer().name()));
    }

    /**
     * Lists the slots in which this host may start any request now. Slots of a server that is
     * reserved for requests that must run alone are not among them.
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
        return slots
                .startableSlots(now, environment.slotAuthority().authorityUntilMilliseconds())
                .stream()
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
                && (slot.isBorrowed() || slot.key().index() < server.warmUp().allowance(now));
    }

    /**
     * Chooses the slot for a request, on a server that it has not tried yet.
     *
     * @param routed the request
     * @param now monotonic milliseconds
     * @return the slot, or empty if the request has to wait
     */
    Optional<Slot> chooseSlot(RoutedRequest routed, long now) {
        Map<String, Slot> byServer = new TreeMap<>();
        for (Slot slot : mustRunAlone(routed) ? exclusiveSlots(now) : sharedSlots(now)) {
            String server = slot.key().backendServer();
            if (!routed.hasTried(server)) {
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
        int chosen = options.loadBalancingPolicy().choose(candidates, environment.random());
        return Optional.of(byServer.get(candidates.get(chosen).backendServer()));
    }

    private List<Slot> exclusiveSlots(long now) {
        Stream<Slot> all =
                options.areSlotsOwned() ? startableSlots(now) : slotsWithoutOwnership(now).stream();
        return all.filter(slot -> isolation.isExclusive(slot, now)).toList();
    }

    private List<Slot> sharedSlots(long now) {
        return options.areSlotsOwned() ? usableSlots(now) : slotsWithoutOwnership(now);
    }

    /**
     * Returns the boot identity of the server process that a request in a slot must run on. A slot
     * within the limit of a cold server may be used with any process, since a restarted server can
     * process the request too.
     *
     * @param slot the slot
     * @param server its server
     * @return the boot identity, or an empty string if any process will do
     */
    String expectedBootIdentity(Slot slot, ServerState server) {
        if (slot.isBorrowed()) {
            return slot.bootIdentity();
        }
        boolean coldSlot = slot.key().index() < server.backendServer().coldSlots();
        return coldSlot || !options.areSlotsOwned() ? "" : server.warmUp().bootIdentity();
    }

    private List<Slot> slotsWithoutOwnership(long now) {
        return servers.values().stream()
                .filter(server -> server.takesNewWork() && server.health().isEligible(now))
                .map(server -> Slot.own(new SlotKey(server.backendServer().name(), 0)))
                .toList();
    }
}
