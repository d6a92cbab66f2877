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
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.slot.SlotMap;
import org.siskinramp.slot.SlotReleases;
import org.siskinramp.slot.SlotRights;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Keeps this entry host's lease among the others and decides which slots it may use.
 *
 * <pre>{@code
 * Membership membership = Membership.builder("entry-1", incarnation)
 *         .clock(clock).scheduler(scheduler).sender(peerLinks).eventLog(eventLog)
 *         .holdingsListener(routing::applyHoldings)
 *         .build();
 * membership.start();
 * }</pre>
 */
public final class Membership implements SlotReleases, SlotRights {

    private static final long NEVER = Long.MIN_VALUE / 4;
    private static final long RELEASE_DELAY_MILLISECONDS = 5;

    private final String self;
    private final String incarnation;
    private final MembershipOptions options;
    private final Clock clock;
    private final Scheduler scheduler;
    private final PeerSender sender;
    private final EventLog eventLog;
    private final Violations violations;
    private final Supplier<HeartbeatContribution> contribution;
    private final Consumer<SlotHoldings> holdingsListener;
    private final LongConsumer newerViewListener;
    private final LongConsumer newerConfigurationListener;

    private final ReentrantLock lock = new ReentrantLock();
    private final MembershipTable table;
    private final SignOff signOff = new SignOff();
    private final ReleaseBatch releases = new ReleaseBatch();
    private final List<Runnable> effects = new ArrayList<>();
    private long heartbeatDueAt = NEVER;
    private boolean releasesDue;
    private long publishedRevision;
    private volatile SlotMap slotMap = SlotMap.EMPTY;
    private volatile Rights rights = new Rights(SlotHoldings.NONE, NEVER);

    private Membership(MembershipBuilder builder) {
        self = builder.host();
        incarnation = builder.incarnation();
        options = builder.options();
        clock = builder.clock();
        scheduler = builder.scheduler();
        sender = builder.sender();
        eventLog = builder.eventLog();
        violations = new Violations(builder.counters(), eventLog);
        contribution = builder.contribution();
        holdingsListener = builder.holdingsListener();
        newerViewListener = builder.newerViewListener();
        newerConfigurationListener = builder.newerConfigurationListener();
        table = new MembershipTable(self, incarnation, options, clock.monotonicMilliseconds());
    }

    /**
     * Starts to describe a membership.
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

    /** Starts to send heartbeats and to watch the time. */
    public void start() {
        scheduler.schedule(options.tickIntervalMilliseconds(), this::tickAndRepeat);
    }

    private void tickAndRepeat() {
        try {
            tick();
        } finally {
            scheduler.schedule(options.tickIntervalMilliseconds(), this::tickAndRepeat);
        }
    }

    /** Lets rights end and begin as time passes, and sends heartbeats when they are due. */
    public void tick() {
        if (locked(() -> isHeartbeatDue(clock.monotonicMilliseconds()))) {
            HeartbeatContribution added = contribution.get();
            update(now -> sendHeartbeats(added, now));
        } else {
            update(now -> {});
        }
    }

    private boolean isHeartbeatDue(long now) {
        return now >= heartbeatDueAt;
    }

    /**
     * Moves to a newer view. An older one is ignored.
     *
     * @param view the view as the table service holds it
     */
    public void applyView(MembershipView view) {
        update(
                now -> {
                    table.applyView(view, now);
                    heartbeatDueAt = now;
                });
    }

    /**
     * Moves to a newer configuration. An older one is ignored.
     *
     * @param configuration the configuration as the table service holds it
     */
    public void applyConfiguration(Configuration configuration) {
        update(
                now -> {
                    table.applyConfiguration(configuration, now);
                    heartbeatDueAt = now;
                });
    }

    /**
     * Notes which hosts the platform lists.
     *
     * @param hosts the listed hosts' names
     */
    public void applyHostList(Set<String> hosts) {
        update(now -> table.applyList(hosts, now));
    }

    /**
     * Takes in a heartbeat.
     *
     * @param host the peer that sent it
     * @param heartbeat the heartbeat
     */
    public void receive(String host, Heartbeat heartbeat) {
        update(
                now -> {
                    if (table.fallsBack(host, heartbeat)) {
                        violations.report("a peer's versions fell", host);
                        return;
                    }
                    table.receive(host, heartbeat, now);
                    if (heartbeat.viewVersion() > table.members().view().version()) {
                        effects.add(() -> newerViewListener.accept(heartbeat.viewVersion()));
                    }
                    if (heartbeat.configurationVersion() > table.configuration().version()) {
                        effects.add(
                                () ->
                                        newerConfigurationListener.accept(
                                                heartbeat.configurationVersion()));
                    }
                });
    }

    /**
     * Takes in a release of slots.
     *
     * @param host the peer that sent it
     * @param release the release
     */
    public void receive(String host, SlotRelease release) {
        update(
                now -> {
                    table.receive(host, release, now);
                    if (release.stopping()) {
                        heartbeatDueAt = now;
                    }
                });
    }

    /**
     * Gives up all slots for good, ahead of a planned stop. The peers learn it at once, and may use
     * each slot as soon as it is reported idle.
     */
    public void stop() {
        update(
                now -> {
                    table.stop();
                    signOff.begin();
                    sendSignOff();
                    eventLog.record(LogEvent.named("membership_stop").with("host", self));
                });
    }

    @Override
    public void released(SlotKey slot) {
        update(now -> table.release(slot).ifPresent(hold -> collect(slot, hold)));
    }

    /**
     * Returns the slots that this host may use, as long as it has authority.
     *
     * @return the holdings
     */
    public SlotHoldings holdings() {
        return rights.holdings();
    }

    @Override
    public long authorityUntilMilliseconds() {
        return rights.usableUntil();
    }

    /**
     * Tells whether this host's rights hold at this moment.
     *
     * @return true until the authority ends
     */
    public boolean hasAuthority() {
        return clock.monotonicMilliseconds() < rights.usableUntil();
    }

    @Override
    public boolean isUsable(SlotKey slot) {
        Rights current = rights;
        return clock.monotonicMilliseconds() < current.usableUntil()
                && current.holdings().slots().contains(slot);
    }

    /**
     * Returns the view that this host acts on.
     *
     * @return the view
     */
    public MembershipView view() {
        return locked(() -> table.members().view());
    }

    /**
     * Tells whether the next view may be written: no host can still act on the one before this.
     *
     * @return true if the present view is settled
     */
    public boolean isSettled() {
        return locked(() -> table.members().isSettled());
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
        return locked(() -> List.copyOf(table.members().peerMembers()));
    }

    /**
     * Returns the versions that the peers acted on when they were last heard.
     *
     * @return one entry for each peer that was heard
     */
    public List<PeerVersion> configurationVersions() {
        return locked(() -> table.versions(clock.monotonicMilliseconds()));
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
        List<Runnable> due;
        lock.lock();
        try {
            long now = clock.monotonicMilliseconds();
            table.expire(now);
            change.accept(now);
            table.refresh(now);
            publish();
            due = List.copyOf(effects);
            effects.clear();
        } finally {
            lock.unlock();
        }
        due.forEach(Runnable::run);
    }

    private void publish() {
        long revision = table.holdingsRevision();
        SlotHoldings before = rights.holdings();
        SlotHoldings after = publishedRevision == revision ? before : table.holdings();
        if (!after.isNotOlderThan(before)) {
            violations.report("own versions fell", self);
            rights = new Rights(before, NEVER);
            return;
        }
        boolean isSame = before.equals(after);
        publishedRevision = revision;
        slotMap = table.slotMap();
        rights = new Rights(isSame ? before : after, table.usableUntil());
        if (!isSame) {
            effects.add(() -> holdingsListener.accept(holdings()));
            eventLog.record(
                    LogEvent.named("holdings")
                            .with("host", self)
                            .with("slots", after.slots().size())
                            .with("configuration_version", after.configurationVersion())
                            .with("view_version", after.viewVersion())
                            .with("view_settled", table.members().isSettled()));
        }
    }

    private void sendHeartbeats(HeartbeatContribution added, long now) {
        heartbeatDueAt = now + options.heartbeatIntervalMilliseconds();
        for (String peer : table.members().peers()) {
            send(peer, table.heartbeat(peer, added, now));
        }
        sendSignOff();
    }

    private void sendSignOff() {
        if (signOff.hasBegun()) {
            for (String peer : table.members().peers()) {
                send(peer, signOff.release(peer, incarnation, table.holdings()));
            }
        }
    }

    /** Sends what was collected. Until then more slots of the same change may become idle. */
    private void sendReleases(long now) {
        releasesDue = false;
        releases.drain(incarnation, table.holdings(), this::send);
        if (table.isStopping()) {
            sendSignOff();
        }
    }

    private void collect(SlotKey slot, Hold hold) {
        Optional<String> owner = table.otherOwner(slot).filter(hold.heard()::containsKey);
        if (owner.isEmpty()) {
            return;
        }
        Acknowledgement heard = hold.heard().get(owner.get());
        if (table.isStopping()) {
            signOff.add(slot, owner.get(), heard);
        } else {
            releases.add(slot, owner.get(), heard);
        }
        if (!releasesDue) {
            releasesDue = true;
            effects.add(this::scheduleReleases);
        }
    }

    private void scheduleReleases() {
        scheduler.schedule(RELEASE_DELAY_MILLISECONDS, () -> update(this::sendReleases));
    }

    private void send(String peer, PeerMessage message) {
        effects.add(() -> sender.send(peer, message));
    }
}
