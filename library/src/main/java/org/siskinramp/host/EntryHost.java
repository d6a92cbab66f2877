package org.siskinramp.host;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.journal.Journal;
import org.siskinramp.journal.RequestInquiry;
import org.siskinramp.ledger.ClaimLedger;
import org.siskinramp.ledger.SuspectRequests;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.membership.Membership;
import org.siskinramp.membership.ViewFollower;
import org.siskinramp.peer.ConfigurationAsk;
import org.siskinramp.peer.ConfigurationNotice;
import org.siskinramp.peer.ConfigurationPush;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.peer.SuspectRequest;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.ServiceRouters;
import org.siskinramp.routing.ServiceWork;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.ticket.ConfigurationFollower;
import org.siskinramp.ticket.Tickets;
import org.siskinramp.time.Scheduler;

/**
 * Runs one entry host: takes requests and messages of other entry hosts in, and decides.
 *
 * <pre>{@code
 * EntryHost host = EntryHost.builder()
 *         .identity(new HostIdentity("entry-1", "almaty-1", incarnation))
 *         .clock(clock).scheduler(scheduler).random(random)
 *         .platform(platform).backendServerLink(link).peerSender(peers)
 *         .eventLog(log).counters(counters)
 *         .build();
 * host.start();
 * host.handle(request).whenComplete(this::answerCaller);
 * }</pre>
 */
public final class EntryHost {

    private final HostIdentity identity;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final long tickIntervalMilliseconds;
    private final ServiceRouters routers;
    private final WarmthWords words;
    private final Membership membership;
    private final ViewFollower viewFollower;
    private final Tickets tickets;
    private final ConfigurationFollower configurationFollower;
    private final PeerSender peerSender;
    private final ClaimLedger ledger;
    private final Journal journal;
    private final RequestInquiry inquiry;
    private final RequestDesk desk;
    private final SuspectRequests suspects;
    private long followedVersion;
    private volatile boolean draining;
    private volatile boolean stopped;

    EntryHost(EntryHostBuilder builder) {
        EntryHostParts parts = new EntryHostParts(builder, this::applyConfiguration);
        identity = builder.identity();
        scheduler = builder.scheduler();
        eventLog = builder.eventLog();
        tickIntervalMilliseconds = builder.options().tickIntervalMilliseconds();
        routers = parts.routers();
        words = parts.words();
        membership = parts.membership();
        viewFollower = parts.viewFollower();
        tickets = parts.tickets();
        configurationFollower = parts.configurationFollower();
        peerSender = builder.peerSender();
        tickets.onCommitted(this::committed);
        ledger = parts.ledger();
        suspects = parts.suspects();
        journal = parts.journal();
        inquiry = parts.inquiry();
        desk = new RequestDesk(parts, builder);
    }

    /**
     * Starts to describe an entry host.
     *
     * @return an empty builder
     */
    public static EntryHostBuilder builder() {
        return new EntryHostBuilder();
    }

    /** Starts to follow the platform and the other entry hosts. */
    public void start() {
        eventLog.record(
                LogEvent.named("entry_host_start").with("incarnation", identity.incarnation()));
        journal.start();
        membership.start();
        viewFollower.start();
        configurationFollower.start();
        scheduler.schedule(tickIntervalMilliseconds, this::tick);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        try {
            routers.tick();
        } finally {
            scheduler.schedule(tickIntervalMilliseconds, this::tick);
        }
    }

    /** Follows a configuration, unless a newer one was followed before. */
    private synchronized void applyConfiguration(Configuration configuration) {
        if (configuration.version() <= followedVersion) {
            return;
        }
        followedVersion = configuration.version();
        words.apply(configuration);
        routers.apply(configuration);
        membership.applyConfiguration(configuration);
    }

    /**
     * Runs a request.
     *
     * @param request the request
     * @return the whole answer; fails with a {@link ResultException} whose code tells whether the
     *     request certainly did not run
     */
    public CompletableFuture<Answer> handle(Request request) {
        return desk.handle(request);
    }

    /**
     * Takes a message of another entry host in.
     *
     * @param host the sending host
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            membership.receive(host, heartbeat);
            words.receive(host, heartbeat);
            askForChanges(host, heartbeat.configurationVersion());
        } else if (message instanceof SlotRelease release) {
            membership.receive(host, release);
        } else if (message instanceof SuspectRequest suspect) {
            suspects.receive(host, suspect);
        } else if (message instanceof ConfigurationNotice notice) {
            configurationFollower.notice(notice.version());
        } else if (message instanceof ConfigurationPush change) {
            configurationFollower.push(change);
        } else if (message instanceof ConfigurationAsk ask) {
            configurationFollower
                    .changesAfter(ask.version())
                    .forEach(change -> peerSender.send(host, change));
        } else {
            routers.receive(host, message);
        }
    }

    private void askForChanges(String host, long theirVersion) {
        long version = configurationFollower.current().version();
        if (theirVersion > version && version > 0) {
            peerSender.send(host, new ConfigurationAsk(version));
        }
    }

    private void committed(ConfigurationPush change) {
        configurationFollower.push(change);
        words.announce(change);
    }

    /**
     * Tells the other entry hosts, and this one, that a ticket made a newer configuration.
     *
     * @param version the newest version
     */
    public void announceConfiguration(long version) {
        configurationFollower.notice(version);
        words.announce(new ConfigurationNotice(version));
    }

    /** Makes this host report that it is not ready, while it still serves. */
    public void drain() {
        draining = true;
        eventLog.record(LogEvent.named("entry_host_drain"));
    }

    /** Refuses new requests as not run, while those in progress end. */
    public void refuseNewRequests() {
        draining = true;
        desk.refuseNewRequests();
        eventLog.record(
                LogEvent.named("entry_host_refuses")
                        .with("requests_in_progress", desk.inProgress()));
    }

    /** Hands all slots over to the other entry hosts and stops following the platform. */
    public void stop() {
        refuseNewRequests();
        viewFollower.stop();
        configurationFollower.stop();
        membership.stop();
        journal.close();
        scheduler.schedule(tickIntervalMilliseconds, () -> stopped = true);
        eventLog.record(LogEvent.named("entry_host_stop"));
    }

    /**
     * Tells whether new requests should come to this host.
     *
     * @return true while it is not stopping, has a configuration and authority, and is not taken
     *     out
     */
    public boolean isReady() {
        Configuration configuration = configurationFollower.current();
        return !draining
                && configuration.version() > 0
                && configuration.isEntryHostIn(identity.name(), identity.availabilityZone())
                && membership.hasAuthority();
    }

    /**
     * Tells whether this host may accept commands of operators.
     *
     * @return true while a majority of the entry hosts hears it
     */
    public boolean hasAuthority() {
        return membership.hasAuthority();
    }

    /**
     * Counts the requests that have not ended.
     *
     * @return the requests in progress or waiting
     */
    public int requestsInProgress() {
        return desk.inProgress();
    }

    /**
     * Counts the claims of non-idempotent requests that are open or whose end is not durable.
     *
     * @return the unsettled claims, zero once this host may stop
     */
    public int unsettledClaims() {
        return ledger.unsettled();
    }

    /**
     * Returns the end of the journal, which begins with {@link #stop}.
     *
     * @return completes once all entries and the marker of this host's end are durable; while the
     *     object store is down it does not
     */
    public CompletableFuture<Void> journalClosed() {
        return journal.closed();
    }

    /**
     * Returns the inquiry into what became of requests.
     *
     * @return the inquiry
     */
    public RequestInquiry inquiry() {
        return inquiry;
    }

    /**
     * Returns the configuration that this host acts on.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configurationFollower.current();
    }

    /**
     * Returns the change tickets.
     *
     * @return the tickets, to file and to show
     */
    public Tickets tickets() {
        return tickets;
    }

    /**
     * Returns the membership.
     *
     * @return the membership, to ask
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the slots that this host holds.
     *
     * @return the holdings
     */
    public SlotHoldings holdings() {
        return membership.holdings();
    }

    /**
     * Describes the work of each service.
     *
     * @return the work in the order of the services' names
     */
    public List<ServiceWork> work() {
        return routers.work();
    }

    /**
     * Counts the backend servers whose warmth this host judges.
     *
     * @return the judged servers
     */
    public int judgedServers() {
        return routers.judgedServers().size();
    }

    /**
     * Counts the requests that wait for a slot.
     *
     * @return the waiting requests of all services
     */
    public int waiting() {
        return routers.waiting();
    }
}
