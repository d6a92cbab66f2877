package org.siskinramp.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.fleet.ServerGate;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

/**
 * Holds the orders that this host knows and decides which backend servers they keep from getting
 * requests: those of a running order's target, which may fail under any load, until a stage allows
 * it. Of each order the later version counts, and of one version the later stage, so that messages
 * may be lost, repeated or reordered. Thread-safe.
 */
public final class RolloutTable implements ServerGate {

    private final Clock clock;
    private final EventLog eventLog;
    private final Map<Key, KnownRollout> rollouts = new LinkedHashMap<>();
    private boolean hasReadSnapshot;

    /** The software versions that get no requests, by service. */
    private volatile Map<String, Set<String>> heldVersions = Map.of();

    /**
     * Creates a table without orders.
     *
     * @param clock provides the time
     * @param eventLog records orders and their stages
     */
    public RolloutTable(Clock clock, EventLog eventLog) {
        this.clock = clock;
        this.eventLog = eventLog;
    }

    @Override
    public boolean mayServe(ServerEntry entry) {
        Map<String, Set<String>> held = heldVersions;
        return held.isEmpty()
                || !held.getOrDefault(entry.server().service(), Set.of())
                        .contains(entry.softwareVersion());
    }

    /**
     * Applies what this host read from the operator table.
     *
     * @param rows the orders
     * @return true if this host did not know them
     */
    public synchronized boolean apply(RolloutRows rows) {
        boolean isStartKnown = hasReadSnapshot || !rows.isSnapshot();
        hasReadSnapshot = true;
        boolean changed = false;
        for (RolloutOrder order : rows.orders()) {
            changed |= put(KnownRollout.first(order, isStartKnown, now()));
        }
        Set<String> ordered =
                rows.orders().stream().map(RolloutOrder::service).collect(Collectors.toSet());
        for (KnownRollout known : List.copyOf(rollouts.values())) {
            String service = known.order().service();
            boolean isGone =
                    rows.removedServices().contains(service)
                            || (rows.isSnapshot() && !ordered.contains(service));
            if (isGone && !known.isRemoved() && known.order().version() <= rows.version()) {
                changed |= replace(known.removedBy(rows.version(), now()));
            }
        }
        updateHeldVersions();
        return changed;
    }

    /**
     * Applies what another host knows.
     *
     * @param reports the orders that it knows
     * @return true if this host did not know them, or not these stages
     */
    public synchronized boolean merge(List<RolloutReport> reports) {
        boolean changed = false;
        for (RolloutReport report : reports) {
            changed |= put(KnownRollout.of(report, now()));
        }
        updateHeldVersions();
        return changed;
    }

    private boolean put(KnownRollout offered) {
        KnownRollout known = rollouts.get(Key.of(offered.order()));
        boolean changed = replace(known == null ? offered : joined(known, offered));
        changed |= removeReplaced(offered.order().service());
        return changed;
    }

    /** A service has one order, so the latest one replaces those with other targets. */
    private boolean removeReplaced(String service) {
        List<KnownRollout> inForce =
                inForce().stream()
                        .filter(rollout -> rollout.order().service().equals(service))
                        .toList();
        long latest =
                inForce.stream().mapToLong(rollout -> rollout.order().version()).max().orElse(0);
        boolean changed = false;
        for (KnownRollout rollout : inForce) {
            if (rollout.order().version() < latest) {
                changed |= replace(rollout.removedBy(latest, now()));
            }
        }
        return changed;
    }

    private static KnownRollout joined(KnownRollout known, KnownRollout offered) {
        long difference = offered.order().version() - known.order().version();
        if (difference < 0) {
            return known;
        }
        if (difference == 0) {
            return known.isRemoved() == offered.isRemoved() ? known.joinedWith(offered) : known;
        }
        boolean continues =
                !known.isRemoved()
                        && !offered.isRemoved()
                        && known.order().isSameAs(offered.order());
        return continues ? known.continuedAs(offered.order()).joinedWith(offered) : offered;
    }

    private boolean replace(KnownRollout rollout) {
        KnownRollout previous = rollouts.put(Key.of(rollout.order()), rollout);
        boolean changed = rollout.differsFrom(previous);
        if (changed) {
            eventLog.record(
                    LogEvent.named("rollout")
                            .with("service", rollout.order().service())
                            .with("target", rollout.order().target())
                            .with("state", rollout.stage().stateName())
                            .with("recorded", rollout.isRecorded())
                            .with("removed", rollout.isRemoved())
                            .with("duration_ms", rollout.order().durationMilliseconds())
                            .with("age_ms", now() - rollout.startedAtMilliseconds()));
        }
        return changed;
    }

    /**
     * Records the stage that the store now holds for an order.
     *
     * @param order the order
     * @param stage the stage
     * @return true if this host did not know it; false also if the order was replaced meanwhile
     */
    synchronized boolean recordStage(RolloutOrder order, RolloutStage stage) {
        KnownRollout known = rollouts.get(Key.of(order));
        if (known == null || known.isRemoved() || !known.order().equals(order)) {
            return false;
        }
        if (known.stage().compareTo(stage) > 0
                || (known.stage().isFinal() && known.stage() != stage)) {
            return false;
        }
        boolean changed = replace(known.withStage(stage, true));
        updateHeldVersions();
        return changed;
    }

    /** Drops orders that were removed long ago, and ends their holds. */
    public synchronized void removeExpired() {
        if (!rollouts.isEmpty()) {
            rollouts.values().removeIf(rollout -> rollout.isForgettable(now()));
            updateHeldVersions();
        }
    }

    private void updateHeldVersions() {
        Map<String, Set<String>> held = new HashMap<>();
        for (KnownRollout rollout : rollouts.values()) {
            if (rollout.holdsTarget(now())) {
                held.merge(
                        rollout.order().service(),
                        Set.of(rollout.order().target()),
                        RolloutTable::union);
            }
        }
        heldVersions = Map.copyOf(held);
    }

    private static Set<String> union(Set<String> first, Set<String> second) {
        List<String> all = new ArrayList<>(first);
        all.addAll(second);
        return Set.copyOf(all);
    }

    /** Returns the orders in force. */
    synchronized List<KnownRollout> inForce() {
        return rollouts.values().stream().filter(rollout -> !rollout.isRemoved()).toList();
    }

    /**
     * Returns what other hosts have to know.
     *
     * @return the orders in force and those removed a short time ago
     */
    public synchronized List<RolloutReport> reports() {
        long now = now();
        return rollouts.values().stream()
                .filter(rollout -> rollout.isAnnounced(now))
                .map(rollout -> rollout.reportAt(now))
                .toList();
    }

    /**
     * Tells whether this host knows more of some order than another host.
     *
     * @param reports what the other host knows
     * @return true if the other host should receive {@link #reports}
     */
    public boolean isAheadOf(List<RolloutReport> reports) {
        List<RolloutReport> own = reports();
        return reports.stream()
                .anyMatch(
                        report ->
                                own.stream()
                                        .filter(
                                                known ->
                                                        Key.of(known.order())
                                                                .equals(Key.of(report.order())))
                                        .anyMatch(report::isBehind));
    }

    private long now() {
        return clock.monotonicMilliseconds();
    }

    private record Key(String service, String target) {

        private static Key of(RolloutOrder order) {
            return new Key(order.service(), order.target());
        }
    }
}
