package org.siskinramp.relay;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.follow.ServerChange;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.FeedAsk;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.RoutesAsk;
import org.siskinramp.peer.SeedName;
import org.siskinramp.quota.HostCount;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Shares reads of the platform's tables between hosts. A few hosts, the readers, read the store;
 * the others subscribe to one of them and receive its updates. Calls to the store are priced and
 * limited in number; this way they do not grow with the number of hosts. A host whose reader stops
 * sending updates reads the store itself before its data exceeds the staleness limit.
 *
 * <p>The store may also serve only some of the hosts. A host without fresh updates, which may be a
 * reader, therefore subscribes to other readers and then to any hosts. Each host sends updates to
 * its subscribers, with the age of the underlying read and the number of hosts that relayed it.
 *
 * <p>Lock order: the lock of a follower, then the lock of the relay.
 */
public final class FeedRelay implements RelayTopology {

    /** The interval between checks for overdue updates. */
    private static final long TICK_MILLISECONDS = 250;

    /** A host renews its subscription once a second. */
    private static final int SUBSCRIPTION_RENEWAL_TICKS = 4;

    /**
     * A read without changes is passed on to subscribers if it lowers the age of the table by more
     * than this. Smaller differences are message delays.
     */
    private static final long MINIMUM_AGE_REDUCTION_MILLISECONDS = 100;

    /** Hosts that start together for the first time have published their entries by then. */
    private static final long FIRST_HOSTS_READ_DELAY_MILLISECONDS = 2_500;

    /** Enough for a reader to read and send its update; then a host reads the store itself. */
    private static final long FIRST_UPDATE_WAIT_MILLISECONDS = 700;

    /** A healthy store answers a starting host well within this time. */
    private static final long FIRST_SEED_REQUEST_DELAY_MILLISECONDS = 300;

    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final RelayOptions options;
    private final IntConsumer hostCountListener;
    private final HostTable hostTable = new HostTable();
    private final ServerTableReplica serverReplica = new ServerTableReplica();
    private final OperatorTableReplica operatorReplica = new OperatorTableReplica();
    private final Subscribers subscribers = new Subscribers();
    private final UpdateReassembler updateReassembler = new UpdateReassembler();
    private final LastPeerRead lastPeerRead = new LastPeerRead();
    private final HostCounting hostCounting;
    private final RestoreDetector serversRestore = new RestoreDetector();
    private final RestoreDetector operatorRestore = new RestoreDetector();
    private final SeedRotation seedRotation;
    private int ticks;
    private volatile HostPublisher publisher;
    private volatile HostEntry self;
    private volatile PeerSender peerSender;
    private volatile TableFollowers followers;
    private volatile UpdateBuilder updateBuilder;
    private volatile OperatorTableRelay operatorRelay;
    private volatile SourceSelector sourceSelector;

    /**
     * Creates a relay, which must be started.
     *
     * @param options staleness limits and seeds
     * @param clock provides the time
     * @param scheduler runs delayed tasks
     * @param eventLog records the source of this host and stale tables
     * @param hostCountListener receives the number of hosts
     */
    public FeedRelay(
            RelayOptions options,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog,
            IntConsumer hostCountListener) {
        this.options = options;
        this.hostCounting = new HostCounting(hostTable, options.firstStart());
        this.seedRotation = new SeedRotation(options.seeds());
        this.clock = clock;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
        this.hostCountListener = hostCountListener;
    }

    /**
     * Publishes this host, looks up other hosts, and subscribes to them and serves subscribers from
     * then on. Starts the followers of the hosts table and the crashes table; the caller starts
     * those of the servers table and the operator table.
     *
     * @param entry the entry of this host
     * @param registry stores the entry
     * @param peers sends messages to other hosts
     * @param tableFollowers the followers of this host
     */
    public void start(
            HostEntry entry,
            HostRegistry registry,
            PeerSender peers,
            TableFollowers tableFollowers) {
        self = Objects.requireNonNull(entry, "entry");
        peerSender = Objects.requireNonNull(peers, "peers");
        followers = Objects.requireNonNull(tableFollowers, "followed");
        updateBuilder =
                new UpdateBuilder(
                        serverReplica, operatorReplica, subscribers, tableFollowers, clock);
        operatorRelay =
                new OperatorTableRelay(
                        this,
                        operatorReplica,
                        updateReassembler,
                        tableFollowers.operator(),
                        peers,
                        clock,
                        eventLog);
        sourceSelector =
                new SourceSelector(
                        entry,
                        hostTable,
                        subscribers,
                        new Freshness(options, tableFollowers, eventLog),
                        eventLog);
        publisher = new HostPublisher(registry, entry, scheduler, eventLog);
        if (options.firstStart()) {
            startForFirstTime();
        } else {
            tableFollowers.hosts().start();
            scheduler.schedule(FIRST_SEED_REQUEST_DELAY_MILLISECONDS, this::subscribeToSeed);
        }
        // The read of the crashes table is not urgent: readers announce the quarantined requests.
        tableFollowers.crashes().suspendReadsUntil(now() + FIRST_UPDATE_WAIT_MILLISECONDS);
        tableFollowers.crashes().start();
        scheduler.schedule(TICK_MILLISECONDS, this::tick);
    }

    /**
     * Delays the reads of this host, so that a host that is not a reader receives its first data
     * from a reader: calls to the store are priced. No callers send requests yet that would have to
     * wait.
     */
    private void startForFirstTime() {
        boolean unused = publisher.publishOnce(false);
        long suspendedUntil =
                now() + FIRST_HOSTS_READ_DELAY_MILLISECONDS + FIRST_UPDATE_WAIT_MILLISECONDS;
        followers.suspendReadsUntil(suspendedUntil);
        scheduler.schedule(FIRST_HOSTS_READ_DELAY_MILLISECONDS, followers.hosts()::start);
    }

    /**
     * Applies changes of the hosts table.
     *
     * @param changes the changes
     */
    public void onHostChanges(Changes<HostChange> changes) {
        int count;
        boolean isPublished;
        synchronized (this) {
            hostTable.apply(changes, now());
            count = hostCounting.count(self, now());
            isPublished = hostTable.contains(self);
            hostCounting.recordRead(self, now());
        }
        reportHostCount(count);
        if (publisher.publishOnce(isPublished)) {
            scheduler.schedule(FIRST_HOSTS_READ_DELAY_MILLISECONDS, followers.hosts()::readNow);
        }
        renewSubscriptions();
    }

    private void reportHostCount(int count) {
        if (hostCounting.recordCount(count, now())) {
            hostCountListener.accept(count);
        }
    }

    /**
     * Applies changes of the servers table, which this host read or received from a peer, and sends
     * them to the subscribers.
     *
     * @param changes the changes
     */
    public void onServerChanges(Changes<ServerChange> changes) {
        synchronized (this) {
            serverReplica.apply(changes, now());
        }
        if (serversRestore.detects(changes)) {
            publisher.publishAgain();
        }
        updateSubscribers();
    }

    /**
     * Applies changes of the operator table, which this host read or received from a peer, and
     * sends them to the subscribers.
     *
     * @param changes the changes
     */
    public void onOperatorChanges(Changes<OperatorChange> changes) {
        synchronized (this) {
            operatorReplica.apply(changes);
        }
        if (operatorRestore.detects(changes)) {
            scheduler.schedule(0, followers::readServersOfNewEra);
            // What operators have not written again by then is not in force any more.
            scheduler.schedule(
                    ChangeFollower.RESTORE_SETTLING_MILLISECONDS,
                    followers.operator()::readSnapshotNow);
        }
        updateSubscribers();
    }

    private void updateSubscribers() {
        List<String> hosts;
        synchronized (this) {
            hosts = subscribers.hosts();
        }
        hosts.forEach(this::sendUpdates);
    }

    private void sendUpdates(String host) {
        List<PeerMessage> messages;
        synchronized (this) {
            messages =
                    updateBuilder.messagesFor(
                            host,
                            hostCounting.count(self, now()),
                            timeSinceReadGapMilliseconds(),
                            lastPeerRead.hops(followers.servers()));
        }
        messages.forEach(message -> peerSender.send(host, message));
    }

    /**
     * Receives a message of another host. Messages of other kinds are ignored.
     *
     * @param host the sender
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        if (message instanceof FeedAsk request) {
            onRequest(host, request);
        } else if (message instanceof FeedNews update) {
            onUpdate(host, update);
        } else if (message instanceof RoutesAsk request) {
            operatorRelay.answer(host, request);
        } else if (acceptsUpdatesFrom(host)) {
            operatorRelay.receive(host, message);
        }
    }

    private void onRequest(String host, FeedAsk request) {
        boolean needsUpdate;
        synchronized (this) {
            needsUpdate = subscribers.subscribe(host, request, now());
        }
        if (needsUpdate) {
            sendUpdates(host);
        }
    }

    private void onUpdate(String host, FeedNews update) {
        Optional<List<ServerEntry>> entries;
        synchronized (this) {
            if (!acceptsUpdatesFrom(host)) {
                return;
            }
            entries = updateReassembler.addPart(host, update);
            if (entries.isEmpty()) {
                return;
            }
            lastPeerRead.recordUpdate(update, now());
            operatorRelay.recordVersion(host, update.operatorVersion());
        }
        long previousVersion = followers.servers().version();
        long previousAgeMilliseconds = followers.servers().ageMilliseconds();
        followers
                .operator()
                .confirmUnchanged(update.operatorVersion(), update.operatorAgeMilliseconds());
        if (!followers
                .servers()
                .applyPeerChanges(
                        update.baseVersion(),
                        ServerTableReplica.changesOf(update, entries.get()),
                        update.serversAgeMilliseconds())) {
            subscribeTo(host);
            return;
        }
        onUpdateApplied(host, update);
        boolean isNewerRead =
                previousAgeMilliseconds - followers.servers().ageMilliseconds()
                        > MINIMUM_AGE_REDUCTION_MILLISECONDS;
        if (isNewerRead && followers.servers().version() == previousVersion) {
            // The listener of the follower sends updates only after changes.
            updateSubscribers();
        }
    }

    private void onUpdateApplied(String host, FeedNews update) {
        boolean isReader;
        synchronized (this) {
            isReader = isReader();
            sourceSelector.onUpdate(host, update, now());
        }
        if (!isReader) {
            followers.suspendReads(update, options, now(), operatorRelay.awaitsSnapshot());
        }
        reportHostCount(update.hostCount());
    }

    private void tick() {
        try {
            boolean renewsSubscriptions;
            boolean isOverdue;
            synchronized (this) {
                ticks++;
                renewsSubscriptions = ticks % SUBSCRIPTION_RENEWAL_TICKS == 0;
                isOverdue = sourceSelector.isOverdue(now());
                sourceSelector.logFreshness();
                if (renewsSubscriptions) {
                    subscribers.removeExpired(now());
                    updateReassembler.retainHosts(this::acceptsUpdatesFrom);
                }
            }
            if (renewsSubscriptions || isOverdue) {
                renewSubscriptions();
            }
            operatorRelay.requestMissingRoutes();
            if (renewsSubscriptions) {
                subscribeToSeed();
            }
        } finally {
            scheduler.schedule(TICK_MILLISECONDS, this::tick);
        }
    }

    /** Renews the subscription of this host, or looks for a source; a reader reads its tables. */
    private void renewSubscriptions() {
        List<String> sources;
        boolean isReader;
        synchronized (this) {
            isReader = isReader();
            sources = sourceSelector.hostsToSubscribeTo(now());
        }
        sources.forEach(this::subscribeTo);
        if (isReader) {
            followers.readUnsyncedTables();
        }
    }

    /** Subscribes to a seed while this host has not read the hosts table. */
    private void subscribeToSeed() {
        if (followers.hosts().isSynced()) {
            return;
        }
        Optional<String> seed;
        synchronized (this) {
            seed = seedRotation.nextSeed(self.address());
        }
        seed.ifPresent(
                address -> {
                    eventLog.record(LogEvent.named("seed_asked").with("peer", address));
                    subscribeTo(SeedName.of(address));
                });
    }

    @Override
    public synchronized List<String> readers() {
        return hostTable.readers(now()).stream()
                .map(HostEntry::name)
                .filter(name -> !name.equals(self.name()))
                .toList();
    }

    @Override
    public synchronized List<String> subscribers() {
        return subscribers.hosts();
    }

    /**
     * Accepts updates from any host until the hosts table was read: until then this host subscribes
     * to seeds, of which it knows only the addresses and not the names.
     */
    @Override
    public synchronized boolean acceptsUpdatesFrom(String host) {
        return sourceSelector.hasSubscribedTo(host) || !followers.hosts().isSynced();
    }

    @Override
    public synchronized boolean isReader() {
        return sourceSelector.isReader(now());
    }

    @Override
    public synchronized Optional<String> source() {
        return sourceSelector.reader(now());
    }

    @Override
    public HostCount hostCount() {
        return hostCounting.current(now(), followers.hosts());
    }

    private void subscribeTo(String host) {
        peerSender.send(host, new FeedAsk(self.address(), followers.servers().version()));
    }

    /**
     * Returns the address on which a host accepts messages of other hosts.
     *
     * @param host the name of the host
     * @return its address as {@code ip:port}, or empty if it is unknown
     */
    public synchronized Optional<String> addressOf(String host) {
        Optional<String> seed = SeedName.address(host);
        Optional<String> known = seed.isPresent() ? seed : subscribers.addressOf(host);
        return known.isPresent() ? known : hostTable.addressOf(host);
    }

    /**
     * Tells whether other hosts subscribe to the reads of this one.
     *
     * @return true while there are subscribers
     */
    public synchronized boolean hasSubscribers() {
        return !subscribers.isEmpty();
    }

    /**
     * Returns the time since the end of the last read gap: an interval in which no host known to
     * this one read the servers table, and which was long enough for entries to expire.
     *
     * @return milliseconds, a very large value if there was no read gap
     */
    public synchronized long timeSinceReadGapMilliseconds() {
        return lastPeerRead.timeSinceReadGapMilliseconds(followers.servers(), now());
    }

    private long now() {
        return clock.monotonicMilliseconds();
    }
}
