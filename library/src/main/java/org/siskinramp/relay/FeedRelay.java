package org.siskinramp.relay;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.follow.ServerChange;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.FeedAsk;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.peer.RoutesAsk;
import org.siskinramp.peer.SeedName;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Shares the reads of the platform's tables. A few hosts read, the others ask one of them to be
 * told. Answers a store whose calls are priced and bounded in number: calls no longer grow with the
 * hosts, and a host whose reader falls silent reads for itself before its sight is too old.
 *
 * <p>Answers too a store that serves only some hosts: whoever gets no fresh news, readers included,
 * asks other readers and then any hosts. Each host tells those that asked it, with the age of the
 * read that it rests on, and says over how many hosts it came. Lock order: that of a follower, then
 * that of the relay.
 */
public final class FeedRelay implements Neighbours {

    /** How often a host looks whether news is overdue. */
    private static final long TICK_MILLISECONDS = 250;

    /** A host repeats once a second that it wants to be told. */
    private static final int TICKS_BETWEEN_ASKS = 4;

    /** What makes a read this much newer is told on; less is the time of a message. */
    private static final long RENEWAL_MILLISECONDS = 100;

    /** Hosts that start for the first time together have published themselves by then. */
    private static final long FIRST_LOOK_MILLISECONDS = 2_500;

    /** Covers the read of a reader and its message; after it a host reads for itself. */
    private static final long FIRST_NEWS_MILLISECONDS = 700;

    /** A store that is well answers a starting host far sooner. */
    private static final long SEED_PATIENCE_MILLISECONDS = 300;

    private static final int UNCOUNTED = 0;

    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final RelayOptions options;
    private final IntConsumer hostCount;
    private final HostTable table = new HostTable();
    private final ServerBook book = new ServerBook();
    private final OperatorBook operatorBook = new OperatorBook();
    private final Subscribers subscribers = new Subscribers();
    private final ReceivedParts parts = new ReceivedParts();
    private final RouteAsks routeAsks = new RouteAsks();
    private final ToldRead toldRead = new ToldRead();
    private final SeedAsks seeds;
    private int ticks;
    private volatile HostPublisher publisher;
    private volatile HostEntry self;
    private volatile PeerSender sender;
    private volatile Followers followers;
    private volatile NewsWriter news;
    private volatile SourceFinder finder;

    /**
     * Creates a relay, which must be started.
     *
     * @param options how old a sight may be
     * @param clock tells the time
     * @param scheduler runs delayed tasks
     * @param eventLog is told whom this host asks
     * @param hostCount is told how many hosts there are
     */
    public FeedRelay(
            RelayOptions options,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog,
            IntConsumer hostCount) {
        this.options = options;
        this.seeds = new SeedAsks(options.seeds());
        this.clock = clock;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
        this.hostCount = hostCount;
    }

    /**
     * Looks for other hosts, publishes this one, and asks and tells others from then on. The
     * followers of the servers and the operator are started by their owner.
     *
     * @param entry this host
     * @param registry where it is published
     * @param peers sends to other hosts
     * @param followed the followers of this host
     */
    public void start(
            HostEntry entry, HostRegistry registry, PeerSender peers, Followers followed) {
        self = Objects.requireNonNull(entry, "entry");
        sender = Objects.requireNonNull(peers, "peers");
        followers = Objects.requireNonNull(followed, "followed");
        news = new NewsWriter(book, operatorBook, subscribers, followed, clock);
        finder =
                new SourceFinder(
                        entry,
                        table,
                        subscribers,
                        new Freshness(options, followed, eventLog),
                        eventLog);
        publisher = new HostPublisher(registry, entry, scheduler, eventLog);
        if (options.firstStart()) {
            startWithAll();
        } else {
            followed.hosts().start();
            scheduler.schedule(SEED_PATIENCE_MILLISECONDS, this::askSeed);
        }
        // Nothing waits for the crashes; a reader tells the others which requests to refuse.
        followed.crashes().coverUntil(now() + FIRST_NEWS_MILLISECONDS);
        followed.crashes().start();
        scheduler.schedule(TICK_MILLISECONDS, this::tick);
    }

    /**
     * Lets the readers read first: no caller is there yet, and each call to the store is priced.
     */
    private void startWithAll() {
        boolean unused = publisher.publishOnce(false);
        long firstNews = now() + FIRST_LOOK_MILLISECONDS + FIRST_NEWS_MILLISECONDS;
        followers.coverUntil(firstNews);
        scheduler.schedule(FIRST_LOOK_MILLISECONDS, followers.hosts()::start);
    }

    /**
     * Takes what this host read or was told of the hosts.
     *
     * @param changes the changes
     */
    public void hostsRead(Changes<HostChange> changes) {
        int count;
        boolean isThere;
        synchronized (this) {
            table.follow(changes, now());
            count = countHosts();
            isThere = table.holds(self);
        }
        follow(count);
        if (publisher.publishOnce(isThere)) {
            scheduler.schedule(FIRST_LOOK_MILLISECONDS, followers.hosts()::readNow);
        }
        askSources();
    }

    /** A table that lacks this host may lack others that start now: nobody is counted by it. */
    private int countHosts() {
        return table.holds(self) ? table.count(self.name(), now()) : UNCOUNTED;
    }

    private void follow(int count) {
        if (count != UNCOUNTED) {
            hostCount.accept(count);
        }
    }

    /**
     * Takes what this host read or was told of the backend servers, and tells those that asked.
     *
     * @param changes the changes
     */
    public void serversRead(Changes<ServerChange> changes) {
        synchronized (this) {
            book.follow(changes, now());
        }
        tellAll();
    }

    /**
     * Takes what this host read or was told of the operator's table, and tells those that asked.
     *
     * @param changes the changes
     */
    public void operatorRead(Changes<OperatorChange> changes) {
        synchronized (this) {
            operatorBook.follow(changes);
        }
        tellAll();
    }

    private void tellAll() {
        List<String> hosts;
        synchronized (this) {
            hosts = subscribers.hosts();
        }
        hosts.forEach(this::tell);
    }

    private void tell(String host) {
        List<PeerMessage> messages;
        synchronized (this) {
            messages =
                    news.messagesFor(
                            host,
                            countHosts(),
                            sinceGapMilliseconds(),
                            toldRead.hops(followers.servers()));
        }
        messages.forEach(message -> sender.send(host, message));
    }

    /**
     * Takes a message of another host. Messages that are not of the relay are passed over.
     *
     * @param host the sender
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        if (message instanceof FeedAsk ask) {
            asked(host, ask);
        } else if (message instanceof FeedNews news) {
            told(host, news);
        } else if (message instanceof OperatorNews news) {
            told(host, news);
        } else if (message instanceof RoutesAsk ask) {
            asked(host, ask);
        }
    }

    private void asked(String host, FeedAsk ask) {
        boolean news;
        synchronized (this) {
            news = subscribers.ask(host, ask, now());
        }
        if (news) {
            tell(host);
        }
    }

    private void told(String host, FeedNews news) {
        Optional<List<ServerEntry>> entries;
        synchronized (this) {
            if (!listensTo(host)) {
                return;
            }
            entries = parts.add(host, news);
            if (entries.isEmpty()) {
                return;
            }
            toldRead.follow(news, now());
            routeAsks.heard(host, news.operatorVersion());
        }
        long version = followers.servers().version();
        long age = followers.servers().ageMilliseconds();
        followers.operator().confirm(news.operatorVersion(), news.operatorAgeMilliseconds());
        if (!followers
                .servers()
                .offer(
                        news.sinceVersion(),
                        ServerBook.changesOf(news, entries.get()),
                        news.ageMilliseconds())) {
            ask(host);
            return;
        }
        heard(host, news);
        boolean renewed = age - followers.servers().ageMilliseconds() > RENEWAL_MILLISECONDS;
        if (renewed && followers.servers().version() == version) {
            // The follower's listener tells only changes.
            tellAll();
        }
    }

    private void asked(String host, RoutesAsk ask) {
        List<OperatorNews> messages;
        synchronized (this) {
            messages =
                    operatorBook.version() > ask.version()
                            ? operatorBook.whole(followers.operator().ageMilliseconds())
                            : List.of();
        }
        messages.forEach(message -> sender.send(host, message));
    }

    private void told(String host, OperatorNews news) {
        Optional<List<RouteLine>> routes;
        synchronized (this) {
            if (!listensTo(host)) {
                return;
            }
            routes = parts.add(host, news);
        }
        routes.ifPresent(
                lines ->
                        followers
                                .operator()
                                .offer(
                                        news.version(),
                                        OperatorBook.changesOf(news, lines),
                                        news.ageMilliseconds()));
    }

    private void heard(String host, FeedNews news) {
        boolean reads;
        synchronized (this) {
            reads = isReader();
            finder.heard(host, news, now());
        }
        if (!reads) {
            followers.cover(news, options, now());
        }
        follow(news.hosts());
    }

    private void tick() {
        try {
            boolean asks;
            boolean late;
            synchronized (this) {
                ticks++;
                asks = ticks % TICKS_BETWEEN_ASKS == 0;
                late = finder.isLate(now());
                finder.logFreshness();
                if (asks) {
                    subscribers.dropSilent(now());
                    parts.keepOnly(this::listensTo);
                }
            }
            if (asks || late) {
                askSources();
            }
            askRoutes();
            if (asks) {
                askSeed();
            }
        } finally {
            scheduler.schedule(TICK_MILLISECONDS, this::tick);
        }
    }

    /** Asks the source of this host, or looks for one; has a reader read. */
    private void askSources() {
        List<String> asked;
        boolean reads;
        synchronized (this) {
            reads = isReader();
            asked = finder.hostsToAsk(now());
        }
        asked.forEach(this::ask);
        if (reads) {
            followers.readMissing();
        }
    }

    /** A host that cannot read the routes is told them, however many there are. */
    private void askRoutes() {
        if (!followers.operator().isFailing()) {
            return;
        }
        long known = followers.operator().version();
        Optional<String> teller;
        synchronized (this) {
            teller = routeAsks.next(known, now());
        }
        teller.ifPresent(host -> sender.send(host, new RoutesAsk(known)));
    }

    /** A host that cannot read who the others are has only the seeds to ask. */
    private void askSeed() {
        if (followers.hosts().isSynced()) {
            return;
        }
        Optional<String> seed;
        synchronized (this) {
            seed = seeds.next(self.address());
        }
        seed.ifPresent(
                address -> {
                    eventLog.record(LogEvent.named("seed_asked").with("peer", address));
                    ask(SeedName.of(address));
                });
    }

    @Override
    public synchronized List<String> readers() {
        return table.readers(now()).stream()
                .map(HostEntry::name)
                .filter(name -> !name.equals(self.name()))
                .toList();
    }

    @Override
    public synchronized List<String> subscribers() {
        return subscribers.hosts();
    }

    /** Whatever tells a host that knows nothing yet is welcome. */
    @Override
    public synchronized boolean listensTo(String host) {
        return finder.wasAsked(host) || !followers.hosts().isSynced();
    }

    @Override
    public synchronized boolean isReader() {
        return finder.isReader(now());
    }

    private void ask(String host) {
        sender.send(host, new FeedAsk(self.address(), followers.servers().version()));
    }

    /**
     * Finds where a host hears others.
     *
     * @param host the host's name
     * @return its address as {@code ip:port}, or empty if it is not known
     */
    public synchronized Optional<String> addressOf(String host) {
        Optional<String> seed = SeedName.address(host);
        Optional<String> asked = seed.isPresent() ? seed : subscribers.addressOf(host);
        return asked.isPresent() ? asked : table.addressOf(host);
    }

    /**
     * Tells whether other hosts rely on the reads of this one.
     *
     * @return true while any host asks to be told
     */
    public synchronized boolean isAsked() {
        return !subscribers.isEmpty();
    }

    /**
     * Returns how long ago a time ended in which the servers were read by no host that this one
     * knows of, long enough for entries to lapse.
     *
     * @return milliseconds, a long time if there was no such time
     */
    public synchronized long sinceGapMilliseconds() {
        return toldRead.sinceGapMilliseconds(followers.servers(), now());
    }

    private long now() {
        return clock.monotonicMilliseconds();
    }
}
