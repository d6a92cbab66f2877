package org.siskinramp.membership;

import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.platform.Platform;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.time.Clock;
import org.siskinramp.time.VirtualTime;

/**
 * Simulates one incarnation of an entry host, which keeps each slot busy as long as it may use it.
 */
final class SimulatedHost implements Clock {

    private final String name;
    private final VirtualTime time;
    private final double clockSpeed;
    private final long clockOffsetMilliseconds;
    private final ToLongFunction<SlotKey> timeLimit;
    private final java.util.Random random;
    private final Membership membership;
    private final ViewFollower follower;
    private final Set<SlotKey> reportedSlots = new HashSet<>();
    private final Map<SlotKey, Long> busyUntil = new HashMap<>();
    private SlotHoldings lastSample = SlotHoldings.NONE;
    private long violationCount;
    private long pausedUntil;
    private boolean dead;

    SimulatedHost(
            String name,
            String incarnation,
            VirtualTime time,
            Platform platform,
            PeerSender sender,
            MembershipOptions options,
            ToLongFunction<SlotKey> timeLimit,
            Consumer<SimulatedHost> configurationReader,
            long seed) {
        this.name = name;
        this.time = time;
        this.timeLimit = timeLimit;
        random = new java.util.Random(seed);
        clockSpeed = 1 + (random.nextDouble() - 0.5) / 500;
        clockOffsetMilliseconds = random.nextInt(1_000_000);
        membership =
                Membership.builder(name, incarnation)
                        .options(options)
                        .clock(this)
                        .scheduler(this::schedule)
                        .sender(sender)
                        .counters((counter, amount) -> violationCount += amount)
                        .holdingsListener(this::applyHoldings)
                        .newerViewListener(version -> readViewIfNewer(version))
                        .newerConfigurationListener(version -> configurationReader.accept(this))
                        .build();
        follower =
                new ViewFollower(
                        name,
                        membership,
                        completingInHost(platform),
                        this,
                        this::schedule,
                        RandomSource.SPLIT_MIX_64.create(seed),
                        event -> {});
    }

    /**
     * Delivers the answers of the platform to this host: after the pause if it is paused, never if
     * it is dead.
     */
    private Platform completingInHost(Platform platform) {
        return (Platform)
                Proxy.newProxyInstance(
                        Platform.class.getClassLoader(),
                        new Class<?>[] {Platform.class},
                        (proxy, method, arguments) ->
                                completeInHost(
                                        (CompletableFuture<?>) method.invoke(platform, arguments)));
    }

    private <T> CompletableFuture<T> completeInHost(CompletableFuture<T> answer) {
        CompletableFuture<T> delivered = new CompletableFuture<>();
        CompletableFuture<T> unused =
                answer.whenComplete(
                        (value, failure) -> run(() -> finish(delivered, value, failure)));
        return delivered;
    }

    private static <T> void finish(CompletableFuture<T> future, T value, Throwable failure) {
        if (failure == null) {
            future.complete(value);
        } else {
            future.completeExceptionally(failure);
        }
    }

    void start() {
        membership.start();
        follower.start();
    }

    private void readViewIfNewer(long version) {
        follower.readIfNewer(version);
    }

    @Override
    public long monotonicMilliseconds() {
        return clockOffsetMilliseconds + (long) (time.monotonicMilliseconds() * clockSpeed);
    }

    @Override
    public long calendarMilliseconds() {
        return time.monotonicMilliseconds();
    }

    /**
     * Schedules a task of this host. It runs after the pause if the host is paused, and never if it
     * is dead.
     */
    void schedule(long delayMilliseconds, Runnable task) {
        time.schedule(delayMilliseconds, () -> run(task));
    }

    private void run(Runnable task) {
        if (dead) {
            return;
        }
        if (time.monotonicMilliseconds() < pausedUntil) {
            time.schedule(pausedUntil - time.monotonicMilliseconds(), () -> run(task));
        } else {
            task.run();
        }
    }

    void receive(String from, PeerMessage message) {
        run(
                () -> {
                    if (message instanceof Heartbeat heartbeat) {
                        membership.receive(from, heartbeat);
                    } else if (message instanceof SlotRelease release) {
                        membership.receive(from, release);
                    }
                });
    }

    void applyConfiguration(Configuration configuration) {
        run(() -> membership.applyConfiguration(configuration));
    }

    /** Reports each slot that is no longer held as released, once it has no request in progress. */
    private void applyHoldings(SlotHoldings holdings) {
        Set<SlotKey> lost = new HashSet<>(reportedSlots);
        lost.removeAll(holdings.slots());
        reportedSlots.clear();
        reportedSlots.addAll(holdings.slots());
        for (SlotKey slot : lost) {
            if (random.nextBoolean()) {
                busyUntil.remove(slot);
            }
            reportWhenIdle(slot);
        }
    }

    private void reportWhenIdle(SlotKey slot) {
        long left = busyUntil.getOrDefault(slot, 0L) - time.monotonicMilliseconds();
        if (left <= 0) {
            schedule(1, () -> membership.released(slot));
        } else {
            schedule(left, () -> reportWhenIdle(slot));
        }
    }

    /**
     * Starts a request that lasts for the full time limit in each slot that this host may use now.
     */
    void startRequests() {
        long now = time.monotonicMilliseconds();
        if (dead || now < pausedUntil) {
            return;
        }
        for (SlotKey slot : membership.holdings().slots()) {
            if (membership.isUsable(slot)) {
                busyUntil.put(slot, now + timeLimit.applyAsLong(slot));
            }
        }
    }

    /**
     * Returns whether the versions of the holdings have not decreased since the last call and the
     * host has counted no violation.
     */
    boolean hasMonotonicVersions() {
        SlotHoldings holdings = membership.holdings();
        boolean isMonotonic = violationCount == 0 && holdings.isNotOlderThan(lastSample);
        lastSample = holdings;
        return isMonotonic;
    }

    /** Returns the slots with a request in progress. */
    Set<SlotKey> busySlots() {
        long now = time.monotonicMilliseconds();
        busyUntil.values().removeIf(end -> end <= now);
        return busyUntil.keySet();
    }

    void pauseUntil(long end) {
        pausedUntil = end;
    }

    void kill() {
        dead = true;
    }

    boolean isDead() {
        return dead;
    }

    String name() {
        return name;
    }

    Membership membership() {
        return membership;
    }
}
