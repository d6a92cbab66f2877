package org.siskinramp.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.relay.QuotaRelay;
import org.siskinramp.relay.RelayTopology;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;
import org.siskinramp.workspace.Workspace;
import org.siskinramp.workspace.WorkspaceTable;

/** A host under virtual time that can be killed, frozen, cut off and restarted. */
final class SimulatedQuotaHost implements Clock, Scheduler, RelayTopology {

    private static final long SOURCE_LOSS_MILLISECONDS = 1_500;
    private static final long TOPOLOGY_INTERVAL_MILLISECONDS = 250;

    private final QuotaSimulation simulation;
    private final String name;
    private final int zone;
    private final UniformRandomProvider random;
    private final Map<String, Long> reachedAt = new HashMap<>();
    private final List<Runnable> whileFrozen = new ArrayList<>();
    private QuotaAdmission admission;
    private QuotaRelay relay;
    private WorkspaceTable table;
    private HostCount count = HostCount.UNKNOWN;
    private long countedAt;
    private long knownSince;
    private long frozenMilliseconds;
    private long frozenAt;
    private boolean frozen;
    private boolean cutOff;
    private int incarnation;
    private Optional<String> source = Optional.empty();
    private List<String> subscribers = List.of();
    private long topologyReadAt = Long.MIN_VALUE / 2;

    SimulatedQuotaHost(
            QuotaSimulation simulation, int number, int zone, UniformRandomProvider random) {
        this.simulation = simulation;
        this.name = "host-" + number;
        this.zone = zone;
        this.random = random;
    }

    void start(Workspace workspace, QuotaAdmission.Factory factory, boolean wasCounted) {
        incarnation++;
        frozen = false;
        table = new WorkspaceTable(List.of(workspace));
        knownSince = monotonicMilliseconds();
        count = new HostCount(simulation.publishedHosts(), 0, wasCounted, 0);
        countedAt = knownSince;
        admission = factory.create(this, () -> Optional.of(table), random);
    }

    void startRelay(QuotaTable quotas, QuotaLimiter limiter, TokenClock clock) {
        relay =
                new QuotaRelay(
                        quotas, limiter, clock, this, (1L << 40) + random.nextLong(1L << 40));
        int startedAs = incarnation;
        relay.start(
                name,
                this,
                (receiver, message) -> {
                    if (startedAs == incarnation) {
                        simulation.transmit(this, receiver, message);
                    }
                });
    }

    QuotaSimulation simulation() {
        return simulation;
    }

    QuotaAdmission admission() {
        return admission;
    }

    String name() {
        return name;
    }

    int zone() {
        return zone;
    }

    void receive(String sender, PeerMessage message) {
        run(
                incarnation,
                () -> {
                    if (relay != null) {
                        relay.receive(sender, message);
                    }
                });
    }

    void configure(Workspace workspace) {
        table = new WorkspaceTable(List.of(workspace));
    }

    void learnHostCount(int hosts) {
        if (!cutOff) {
            count = new HostCount(hosts, 0, count.wasCountedAtStart(), 0);
            countedAt = monotonicMilliseconds();
        }
    }

    CompletableFuture<QuotaDecision> acquire() {
        return admission.acquire(QuotaSimulation.WORKSPACE);
    }

    void kill() {
        incarnation++;
        relay = null;
        admission = null;
        whileFrozen.clear();
    }

    boolean isAlive() {
        return admission != null;
    }

    boolean isFrozen() {
        return frozen;
    }

    void freeze() {
        frozen = true;
        frozenAt = simulation.time().monotonicMilliseconds();
    }

    void thaw() {
        if (frozen) {
            frozen = false;
            frozenMilliseconds += simulation.time().monotonicMilliseconds() - frozenAt;
            List<Runnable> tasks = new ArrayList<>(whileFrozen);
            whileFrozen.clear();
            tasks.forEach(Runnable::run);
        }
    }

    void cutOff(boolean value) {
        cutOff = value;
    }

    boolean isCutOff() {
        return cutOff;
    }

    @Override
    public void schedule(long delayMilliseconds, Runnable task) {
        int scheduledBy = incarnation;
        simulation.time().schedule(delayMilliseconds, () -> run(scheduledBy, task));
    }

    /** Runs a task now, after a thaw, or not at all if the process was killed. */
    void run(int startedBy, Runnable task) {
        if (startedBy != incarnation || admission == null) {
            return;
        }
        if (frozen) {
            whileFrozen.add(() -> run(startedBy, task));
        } else {
            task.run();
        }
    }

    int incarnation() {
        return incarnation;
    }

    @Override
    public long monotonicMilliseconds() {
        return simulation.time().monotonicMilliseconds() - frozenMilliseconds;
    }

    @Override
    public long calendarMilliseconds() {
        return simulation.time().calendarMilliseconds();
    }

    private void readTopology() {
        if (monotonicMilliseconds() - topologyReadAt < TOPOLOGY_INTERVAL_MILLISECONDS) {
            return;
        }
        topologyReadAt = monotonicMilliseconds();
        source = findSource();
        subscribers =
                isReader()
                        ? simulation.hosts().stream()
                                .filter(host -> host.source.filter(name::equals).isPresent())
                                .map(SimulatedQuotaHost::name)
                                .toList()
                        : List.of();
    }

    private Optional<String> findSource() {
        if (isReader()) {
            return Optional.of(name);
        }
        long now = monotonicMilliseconds();
        for (SimulatedQuotaHost reader : simulation.readers()) {
            if (simulation.isReachable(this, reader)) {
                reachedAt.put(reader.name, now);
            }
        }
        return simulation.readers().stream()
                .filter(
                        reader ->
                                now - reachedAt.getOrDefault(reader.name, Long.MIN_VALUE / 2)
                                        < SOURCE_LOSS_MILLISECONDS)
                .min(
                        Comparator.comparing((SimulatedQuotaHost reader) -> reader.zone != zone)
                                .thenComparing(reader -> (reader.name + name).hashCode()))
                .map(SimulatedQuotaHost::name);
    }

    @Override
    public List<String> readers() {
        return simulation.readers().stream()
                .map(SimulatedQuotaHost::name)
                .filter(reader -> !reader.equals(name))
                .toList();
    }

    @Override
    public List<String> subscribers() {
        readTopology();
        return subscribers;
    }

    @Override
    public boolean isReader() {
        return simulation.readers().contains(this);
    }

    @Override
    public boolean acceptsUpdatesFrom(String host) {
        return true;
    }

    @Override
    public Optional<String> source() {
        readTopology();
        return source;
    }

    @Override
    public HostCount hostCount() {
        long now = monotonicMilliseconds();
        return new HostCount(
                count.hosts(), now - countedAt, count.wasCountedAtStart(), now - knownSince);
    }

    Supplier<HostCount> countSupplier() {
        return this::hostCount;
    }
}
