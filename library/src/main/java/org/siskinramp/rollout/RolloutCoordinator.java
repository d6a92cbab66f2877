package org.siskinramp.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.Futures;
import org.siskinramp.time.Clock;

/**
 * Records the stages of orders in the store. Any host may do so: writes have a precondition, so
 * that of several hosts one succeeds and the others adopt what it wrote. An order without a verdict
 * is rolled back shortly before its deadline. Makes no call to the store while there are no orders.
 */
public final class RolloutCoordinator {

    /**
     * An order ends this long before its deadline: hosts learn of an order up to a second after it
     * was acknowledged, and the write takes up to a second if another host has to take over.
     */
    static final long DEADLINE_MARGIN_MILLISECONDS = 2_000;

    /** A host that just started hears from its peers how old an order is within this time. */
    private static final long START_LOOKUP_MILLISECONDS = 1_500;

    private static final long RETRY_MILLISECONDS = 500;

    /** Limits the calls while the store is unavailable to one in four seconds and host. */
    private static final int MAXIMUM_RETRY_DOUBLINGS = 3;

    private final RolloutTable table;
    private final RolloutRegistry registry;
    private final RolloutDuty duty;
    private final Clock clock;
    private final EventLog eventLog;
    private final Counters counters;
    private final Map<RolloutRecord, Pending> pendingWrites = new HashMap<>();

    /**
     * Creates a coordinator.
     *
     * @param table the orders that this host knows
     * @param registry stores their states
     * @param duty tells when it is this host's turn
     * @param clock provides the time
     * @param eventLog records writes
     * @param counters counts orders that were rolled back
     */
    public RolloutCoordinator(
            RolloutTable table,
            RolloutRegistry registry,
            RolloutDuty duty,
            Clock clock,
            EventLog eventLog,
            Counters counters) {
        this.table = table;
        this.registry = registry;
        this.duty = duty;
        this.clock = clock;
        this.eventLog = eventLog;
        this.counters = counters;
    }

    /**
     * Starts the writes that are due; call it several times a second.
     *
     * @param changeListener is called after this host learned from the store that a stage changed
     */
    public void tick(Runnable changeListener) {
        List<KnownRollout> rollouts = table.inForce();
        Set<RolloutRecord> needed = new HashSet<>();
        for (KnownRollout rollout : rollouts) {
            RolloutStage stage = dueStage(rollout);
            if (rollout.stage() != stage || !rollout.isRecorded()) {
                RolloutRecord due = new RolloutRecord(rollout.order(), stage);
                needed.add(due);
                if (beginWrite(due, rollout)) {
                    record(due, rollout.isStartKnown(), changeListener);
                }
            }
        }
        synchronized (this) {
            pendingWrites.keySet().retainAll(needed);
        }
    }

    private RolloutStage dueStage(KnownRollout rollout) {
        if (rollout.stage().isFinal()) {
            return rollout.stage();
        }
        long age = now() - rollout.startedAtMilliseconds();
        boolean ends = age >= rollout.order().durationMilliseconds() - DEADLINE_MARGIN_MILLISECONDS;
        return ends ? RolloutStage.ROLLED_BACK : RolloutStage.RUNNING;
    }

    private synchronized boolean beginWrite(RolloutRecord due, KnownRollout rollout) {
        Pending pending = pendingWrites.get(due);
        if (pending == null) {
            long lookup = rollout.isStartKnown() ? 0 : START_LOOKUP_MILLISECONDS;
            long delay = Math.max(lookup, duty.delayMilliseconds(due.order().service()));
            pending = new Pending(now() + delay, 0, false);
            pendingWrites.put(due, pending);
        }
        if (pending.isInProgress || now() < pending.startsAtMilliseconds) {
            return false;
        }
        pendingWrites.put(due, new Pending(0, pending.failures, true));
        return true;
    }

    private void record(RolloutRecord due, boolean isStartKnown, Runnable changeListener) {
        Futures.whenDone(
                registry.read(due.order().service()),
                (recorded, failure) -> {
                    if (failure == null) {
                        onRead(due, recorded, isStartKnown, changeListener);
                    } else {
                        onFailure(due, failure);
                    }
                });
    }

    private void onRead(
            RolloutRecord due,
            RecordedRollout recorded,
            boolean isStartKnown,
            Runnable changeListener) {
        RolloutRecord next = nextRecord(due, recorded.rolloutRecord(), isStartKnown);
        boolean isWritten =
                recorded.isStatusCurrent()
                        && recorded.rolloutRecord().filter(next::equals).isPresent();
        if (isWritten) {
            onWritten(due, next, false, changeListener);
            return;
        }
        Futures.whenDone(
                registry.write(next, recorded),
                (written, failure) -> {
                    if (failure == null) {
                        onWritten(due, next, true, changeListener);
                    } else {
                        onFailure(due, failure);
                    }
                });
    }

    /**
     * Continues from what another host recorded of the same order. A final stage is never left. A
     * running order is rolled back if no host knows when it began, which is so after a restart of
     * all: the old version serves all requests then, so that nothing is lost.
     */
    private static RolloutRecord nextRecord(
            RolloutRecord due, Optional<RolloutRecord> recorded, boolean isStartKnown) {
        Optional<RolloutStage> recordedStage =
                recorded.filter(last -> last.order().isSameAs(due.order()))
                        .map(RolloutRecord::stage);
        if (recordedStage.isEmpty()) {
            return due;
        }
        if (recordedStage.get().isFinal()) {
            return new RolloutRecord(due.order(), recordedStage.get());
        }
        return isStartKnown ? due : new RolloutRecord(due.order(), RolloutStage.ROLLED_BACK);
    }

    private void onWritten(
            RolloutRecord due, RolloutRecord written, boolean byThisHost, Runnable listener) {
        synchronized (this) {
            pendingWrites.remove(due);
        }
        if (byThisHost) {
            boolean isRolledBack = written.stage() == RolloutStage.ROLLED_BACK;
            counters.add(Counter.ROLLOUTS_ROLLED_BACK, isRolledBack ? 1 : 0);
            eventLog.record(
                    event("rollout_recorded", written)
                            .with("cause", isRolledBack ? "no_verdict" : "order"));
        }
        if (table.recordStage(written.order(), written.stage())) {
            listener.run();
        }
    }

    private synchronized void onFailure(RolloutRecord due, Throwable failure) {
        Pending pending = pendingWrites.get(due);
        if (pending == null) {
            return;
        }
        if (pending.failures == 0) {
            eventLog.record(event("rollout_not_recorded", due).with("cause", failure.getMessage()));
        }
        long delay = RETRY_MILLISECONDS << Math.min(pending.failures, MAXIMUM_RETRY_DOUBLINGS);
        pendingWrites.put(due, new Pending(now() + delay, pending.failures + 1, false));
    }

    private static LogEvent event(String name, RolloutRecord rollout) {
        return LogEvent.named(name)
                .with("service", rollout.order().service())
                .with("target", rollout.order().target())
                .with("state", rollout.stage().stateName());
    }

    private long now() {
        return clock.monotonicMilliseconds();
    }

    private record Pending(long startsAtMilliseconds, int failures, boolean isInProgress) {}
}
