package org.siskinramp.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.slot.SlotAuthority;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.slot.SlotMap;
import org.siskinramp.slot.SlotReleaseListener;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Keeps this entry host's lease with the other hosts and decides which slots it may use.
 *
 * <pre>{@code
 * Membership membership = Membership.builder("entry-1", incarnation)
 *         .clock(clock).scheduler(scheduler).sender(peerLinks).eventLog(eventLog)
 *         .holdingsListener(routing::applyHoldings)
 *         .build();
 * membership.start();
 * }</pre>
 */
public final class Membership implements SlotReleaseListener, SlotAuthority {

    /** Stands for "never"; far enough from the limit that sums and differences do not overflow. */
    private static final long DISTANT_PAST_MILLISECONDS = Long.MIN_VALUE / 4;

    private static final long RELEASE_DELAY_MILLISECONDS = 5;

    private final String self;
    private final String incarnation;
    private final MembershipOptions options;
    private final Clock clock;
    private final Scheduler scheduler;
    private final PeerSender sender;
    private final EventLog eventLog;
    private final ViolationReporter violations;
    private final Supplier<HeartbeatContribution> contribution;
    private final Consumer<SlotHoldings> holdingsListener;
    private final LongConsumer newerViewListener;
    private final LongConsumer newerConfigurationListener;

    private final ReentrantLock lock = new ReentrantLock();
    private final MembershipState state;
    private final ShutdownReleases shutdownReleases = new ShutdownReleases();
    private final ReleaseBatch releases = new ReleaseBatch();
    private final List<Runnable> deferredActions = new ArrayList<>();
    private long nextHeartbeatAt = DISTANT_PAST_MILLISECONDS;
    private boolean releaseScheduled;
    private long publishedRevision;
    private volatile SlotMap slotMap = SlotMap.EMPTY;
    private volatile LeasedHoldings leasedHoldings =
            new LeasedHoldings(SlotHoldings.NONE, DISTANT_PAST_MILLISECONDS);

    private Membership(MembershipBuilder builder) {
        self = builder.host();
        incarnation = builder.incarnation();
        options = builder.options();
        clock = builder.clock();
        scheduler = builder.scheduler();
        sender = builder.sender();
        eventLog = builder.eventLog();
        violations = new ViolationReporter(builder.counters(), eventLog);
        contribution = builder.contribution();
        holdingsListener = builder.holdingsListener();
        newerViewListener = builder.newerViewListener();
        newerConfigurationListener = builder.newerConfigurationListener();
        state = new MembershipState(self, incarnation, options, clock.monotonicMilliseconds());
    }

    /**
     * Creates a builder of a membership.
     *
     * @param host this entry host's name
     * @param incarnation an identifier that no earlier process of this host has used
     * @return a builder
     */
    public static MembershipBuilder builder(String host, String incarnation) {
        return new MembershipBuilder(host, incarnation);
    }

    static Membership of(MembershipBuilder builder) {
        return new Membership(builder);
    }

    /** Starts the periodic {@link #tick}, which sends heartbeats. */
    public void start() {
        scheduler.schedule(options.tickIntervalMilliseconds(), this::tickAndReschedule);
    }

    private void tickAndReschedule() {
        try {
            tick();
        } finally {
            scheduler.schedule(options.tickIntervalMilliseconds(), this::tickAndReschedule);
        }
    }

    /**
     * Updates authority and holdings for the present time, and sends heartbeats when they are due.
     */
    public void tick() {
        if (locked(() -> isHeartbeatDue(clock.monotonicMilliseconds()))) {
            HeartbeatContribution contributed = contribution.get();
            update(now -> sendHeartbeats(contributed, now));
        } else {
            update(now -> {});
        }
    }

    private boolean isHeartbeatDue(long now) {
        return now >= nextHeartbeatAt;
    }

    /**
     * Applies a view if it is newer than the present one.
     *
     * @param view the view as read from the table service
     */
    public void applyView(MembershipView view) {
        update(
                now -> {
                    state.applyView(view, now);
                    nextHeartbeatAt = now;
                });
    }

    /**
     * Applies a configuration if it is newer than the present one.
     *
     * @param configuration the configuration as read from the table service
     */
    public void applyConfiguration(Configuration configuration) {
        update(
                now -> {
                    state.applyConfiguration(configuration, now);
                    nextHeartbeatAt = now;
                });
    }

    /**
     * Records the hosts that the platform lists.
     *
     * @param hosts the names of the listed hosts
     */
    public void applyHostList(Set<String> hosts) {
        update(now -> state.applyHostList(hosts, now));
    }

    /**
     * Processes a heartbeat.
     *
     * @param host the peer that sent it
     * @param heartbeat the heartbeat
     */
    public void receive(String host, Heartbeat heartbeat) {
        update(
                now -> {
                    if (state.hasLowerVersions(host, heartbeat)) {
                        violations.report("a peer's versions fell", host);
                        return;
                    }
                    state.receive(host, heartbeat, now);
                    if (heartbeat.viewVersion() > state.viewState().view().version()) {
                        deferredActions.add(
                                () -> newerViewListener.accept(heartbeat.viewVersion()));
                    }
                    if (heartbeat.configurationVersion() > state.configuration().version()) {
                        deferredActions.add(
                                () ->
                                        newerConfigurationListener.accept(
                                                heartbeat.configurationVersion()));
                    }
                });
    }

    /**
     * Processes a release of slots.
     *
     * @param host the peer that sent it
     * @param release the release
     */
    public void receive(String host, SlotRelease release) {
        update(
                now -> {
                    state.receive(host, release, now);
                    if (release.stopping()) {
                        nextHeartbeatAt = now;
                    }
                });
    }

    /**
     * Permanently gives up all slots as part of a graceful shutdown. The peers are notified at
     * once, and each slot is released to its next owner as soon as it is reported idle.
     */
    public void stop() {
        update(
                now -> {
                    state.stop();
                    shutdownReleases.begin();
                    sendShutdownReleases();
                    eventLog.record(LogEvent.named("membership_stop").with("host", self));
                });
    }

    @Override
    public void released(SlotKey slot) {
        update(now -> state.markReleased(slot).ifPresent(hold -> queueRelease(slot, hold)));
    }

    /**
     * Returns the slots that this host may use while it has authority.
     *
     * @return the holdings
     */
    public SlotHoldings holdings() {
        return leasedHoldings.holdings();
    }

    @Override
    public long authorityUntilMilliseconds() {
        return leasedHoldings.usableUntil();
    }

    /**
     * Returns whether this host has authority now.
     *
     * @return true until its right to use its holdings ends
     */
    public boolean hasAuthority() {
        return clock.monotonicMilliseconds() < leasedHoldings.usableUntil();
    }

    @Override
    public boolean isUsable(SlotKey slot) {
        LeasedHoldings current = leasedHoldings;
        return clock.monotonicMilliseconds() < current.usableUntil()
                && current.holdings().slots().contains(slot);
    }

    /**
     * Returns the view that this host acts on.
     *
     * @return the view
     */
    public MembershipView view() {
        return locked(() -> state.viewState().view());
    }

    /**
     * Returns whether the next view may be written, because no host can have authority through a
     * majority of the previous view any longer.
     *
     * @return true if the present view is settled
     */
    public boolean isSettled() {
        return locked(() -> state.viewState().isSettled());
    }

    /**
     * Finds the home of a slot in the view and configuration that this host acts on.
     *
     * @param slot the slot
     * @return the entry host's name, or empty if there is no such slot
     */
    public Optional<String> home(SlotKey slot) {
        return slotMap.home(slot);
    }

    /**
     * Returns the other members of the view.
     *
     * @return the peers in name order
     */
    public Collection<Member> peers() {
        return locked(() -> List.copyOf(state.viewState().peerMembers()));
    }

    /**
     * Returns the versions in the latest heartbeat of each peer.
     *
     * @return one entry for each peer from which a heartbeat was received
     */
    public List<PeerVersions> peerVersions() {
        return locked(() -> state.peerVersions(clock.monotonicMilliseconds()));
    }

    private <T> T locked(Supplier<T> query) {
        lock.lock();
        try {
            return query.get();
        } finally {
            lock.unlock();
        }
    }

    private void update(LongConsumer change) {
        List<Runnable> actions;
        lock.lock();
        try {
            long now = clock.monotonicMilliseconds();
            state.expire(now);
            change.accept(now);
            state.refresh(now);
            publishHoldings();
            actions = List.copyOf(deferredActions);
            deferredActions.clear();
        } finally {
            lock.unlock();
        }
        actions.forEach(Runnable::run);
    }

    private void publishHoldings() {
        long revision = state.holdingsRevision();
        SlotHoldings before = leasedHoldings.holdings();
        SlotHoldings after = publishedRevision == revision ? before : state.holdings();
        if (!after.isNotOlderThan(before)) {
            violations.report("own versions fell", self);
            leasedHoldings = new LeasedHoldings(before, DISTANT_PAST_MILLISECONDS);
            return;
        }
        boolean isSame = before.equals(after);
        publishedRevision = revision;
        slotMap = state.slotMap();
        leasedHoldings = new LeasedHoldings(isSame ? before : after, state.usableUntil());
        if (!isSame) {
            deferredActions.add(() -> holdingsListener.accept(holdings()));
            eventLog.record(
                    LogEvent.named("holdings")
                            .with("host", self)
                            .with("slots", after.slots().size())
                            .with("configuration_version", after.configurationVersion())
                            .with("view_version", after.viewVersion())
                            .with("view_settled", state.viewState().isSettled()));
        }
    }

    private void sendHeartbeats(HeartbeatContribution contributed, long now) {
        nextHeartbeatAt = now + options.heartbeatIntervalMilliseconds();
        for (String peer : state.viewState().peers()) {
            queueMessage(peer, state.heartbeat(peer, contributed, now));
        }
        sendShutdownReleases();
    }

    private void sendShutdownReleases() {
        if (shutdownReleases.hasBegun()) {
            for (String peer : state.viewState().peers()) {
                queueMessage(
                        peer, shutdownReleases.messageFor(peer, incarnation, state.holdings()));
            }
        }
    }

    /**
     * Sends the batched releases, a short time after the first slot was added, so that slots of the
     * same change that become idle a little later are sent in the same messages.
     */
    private void sendReleases(long now) {
        releaseScheduled = false;
        releases.drain(incarnation, state.holdings(), this::queueMessage);
        if (state.isStopping()) {
            sendShutdownReleases();
        }
    }

    private void queueRelease(SlotKey slot, FormerHold hold) {
        Optional<String> owner = state.otherOwner(slot).filter(hold.lastHeartbeats()::containsKey);
        if (owner.isEmpty()) {
            return;
        }
        Acknowledgement lastHeartbeat = hold.lastHeartbeats().get(owner.get());
        if (state.isStopping()) {
            shutdownReleases.add(slot, owner.get(), lastHeartbeat);
        } else {
            releases.add(slot, owner.get(), lastHeartbeat);
        }
        if (!releaseScheduled) {
            releaseScheduled = true;
            deferredActions.add(this::scheduleReleases);
        }
    }

    private void scheduleReleases() {
        scheduler.schedule(RELEASE_DELAY_MILLISECONDS, () -> update(this::sendReleases));
    }

    private void queueMessage(String peer, PeerMessage message) {
        deferredActions.add(() -> sender.send(peer, message));
    }
}
