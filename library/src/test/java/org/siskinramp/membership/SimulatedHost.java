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

/** Runs one incarnation of an entry host, which works in each slot as long as it may. */
final class SimulatedHost implements Clock {

    private final String name;
    private final VirtualTime time;
    private final double speed;
    private final long offset;
    private final ToLongFunction<SlotKey> timeLimit;
    private final java.util.Random random;
    private final Membership membership;
    private final ViewFollower follower;
    private final Set<SlotKey> listed = new HashSet<>();
    private final Map<SlotKey, Long> busyUntil = new HashMap<>();
    private SlotHoldings sampled = SlotHoldings.NONE;
    private long violations;
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
        speed = 1 + (random.nextDouble() - 0.5) / 500;
        offset = random.nextInt(1_000_000);
        membership =
                Membership.builder(name, incarnation)
                        .options(options)
                        .clock(this)
                        .scheduler(this::schedule)
                        .sender(sender)
                        .counters((counter, amount) -> violations += amount)
                        .holdingsListener(this::applyHoldings)
                        .newerViewListener(version -> hint(version))
                        .newerConfigurationListener(version -> configurationReader.accept(this))
                        .build();
        follower =
                new ViewFollower(
                        name,
                        membership,
                        answeringInHost(platform),
                        this,
                        this::schedule,
                        RandomSource.SPLIT_MIX_64.create(seed),
                        event -> {});
    }

    /** Lets the answers of the platform arrive in this host: late if paused, never if dead. */
    private Platform answeringInHost(Platform platform) {
        return (Platform)
                Proxy.newProxyInstance(
                        Platform.class.getClassLoader(),
                        new Class<?>[] {Platform.class},
                        (proxy, method, arguments) ->
                                inHost((CompletableFuture<?>) method.invoke(platform, arguments)));
    }

    private <T> CompletableFuture<T> inHost(CompletableFuture<T> answer) {
        CompletableFuture<T> arrived = new CompletableFuture<>();
        CompletableFuture<T> unused =
                answer.whenComplete((value, failure) -> run(() -> finish(arrived, value, failure)));
        return arrived;
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

    private void hint(long version) {
        follower.hint(version);
    }

    @Override
    public long monotonicMilliseconds() {
        return offset + (long) (time.monotonicMilliseconds() * speed);
    }

    @Override
    public long calendarMilliseconds() {
        return time.monotonicMilliseconds();
    }

    /** Runs a task of this host, after its pause if it is paused and never if it is dead. */
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

    /** Reports each slot that disappeared once nothing is in progress there. */
    private void applyHoldings(SlotHoldings holdings) {
        Set<SlotKey> gone = new HashSet<>(listed);
        gone.removeAll(holdings.slots());
        listed.clear();
        listed.addAll(holdings.slots());
        for (SlotKey slot : gone) {
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

    /** Starts a request that takes the whole time limit in each slot that may be used now. */
    void useHoldings() {
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

    /** Tells whether the versions never fell, in the holdings and by the host's own count. */
    boolean hasRisingVersions() {
        SlotHoldings holdings = membership.holdings();
        boolean isRising = violations == 0 && holdings.isNotOlderThan(sampled);
        sampled = holdings;
        return isRising;
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
