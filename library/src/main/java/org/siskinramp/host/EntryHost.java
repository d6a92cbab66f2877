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
import org.siskinramp.routing.ServiceLoad;
import org.siskinramp.routing.ServiceRouters;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.ticket.ConfigurationFollower;
import org.siskinramp.ticket.Tickets;
import org.siskinramp.time.Scheduler;

/**
 * Runs one entry host: accepts requests and the messages of other entry hosts, and decides where
 * and whether each request runs.
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
    private final AllowanceExchange allowanceExchange;
    private final Membership membership;
    private final ViewFollower viewFollower;
    private final Tickets tickets;
    private final ConfigurationFollower configurationFollower;
    private final PeerSender peerSender;
    private final ClaimLedger ledger;
    private final Journal journal;
    private final RequestInquiry inquiry;
    private final EntryHostRequestHandler requestHandler;
    private final SuspectRequests suspectRequests;
    private long appliedVersion;
    private volatile boolean draining;
    private volatile boolean stopped;

    EntryHost(EntryHostBuilder builder) {
        EntryHostParts parts = new EntryHostParts(builder, this::applyConfiguration);
        identity = builder.identity();
        scheduler = builder.scheduler();
        eventLog = builder.eventLog();
        tickIntervalMilliseconds = builder.options().tickIntervalMilliseconds();
        routers = parts.routers();
        allowanceExchange = parts.allowanceExchange();
        membership = parts.membership();
        viewFollower = parts.viewFollower();
        tickets = parts.tickets();
        configurationFollower = parts.configurationFollower();
        peerSender = builder.peerSender();
        tickets.onCommitted(this::onConfigurationCommitted);
        ledger = parts.ledger();
        suspectRequests = parts.suspectRequests();
        journal = parts.journal();
        inquiry = parts.inquiry();
        requestHandler = new EntryHostRequestHandler(parts, builder);
    }

    /**
     * Creates a builder of an entry host.
     *
     * @return an empty builder
     */
    public static EntryHostBuilder builder() {
        return new EntryHostBuilder();
    }

    /** Starts to read from the platform and to exchange heartbeats with the other entry hosts. */
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

    /** Applies a configuration if it is newer than the last one that was applied. */
    private synchronized void applyConfiguration(Configuration configuration) {
        if (configuration.version() <= appliedVersion) {
            return;
        }
        appliedVersion = configuration.version();
        allowanceExchange.applyConfiguration(configuration);
        routers.apply(configuration);
        membership.applyConfiguration(configuration);
    }

    /**
     * Processes a request.
     *
     * @param request the request
     * @return the complete answer; fails with a {@link ResultException} whose code states whether
     *     the request certainly did not run
     */
    public CompletableFuture<Answer> handle(Request request) {
        return requestHandler.handle(request);
    }

    /**
     * Processes a message of another entry host.
     *
     * @param host the sending host
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            membership.receive(host, heartbeat);
            allowanceExchange.receive(host, heartbeat);
            requestMissingChanges(host, heartbeat.configurationVersion());
        } else if (message instanceof SlotRelease release) {
            membership.receive(host, release);
        } else if (message instanceof SuspectRequest suspect) {
            suspectRequests.receive(host, suspect);
        } else if (message instanceof ConfigurationNotice notice) {
            configurationFollower.readIfNewer(notice.version());
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

    private void requestMissingChanges(String host, long theirVersion) {
        long version = configurationFollower.current().version();
        if (theirVersion > version && version > 0) {
            peerSender.send(host, new ConfigurationAsk(version));
        }
    }

    private void onConfigurationCommitted(ConfigurationPush change) {
        configurationFollower.push(change);
        allowanceExchange.broadcast(change);
    }

    /**
     * Notifies the other entry hosts, and this one, that a ticket has created a newer
     * configuration.
     *
     * @param version the newest version
     */
    public void announceConfiguration(long version) {
        configurationFollower.readIfNewer(version);
        allowanceExchange.broadcast(new ConfigurationNotice(version));
    }

    /** Makes this host report that it is not ready, while it still accepts requests. */
    public void drain() {
        draining = true;
        eventLog.record(LogEvent.named("entry_host_drain"));
    }

    /** Refuses new requests as not run, while those in progress continue to their end. */
    public void refuseNewRequests() {
        draining = true;
        requestHandler.refuseNewRequests();
        eventLog.record(
                LogEvent.named("entry_host_refuses")
                        .with("requests_in_progress", requestHandler.inProgress()));
    }

    /**
     * Hands all slots over to the other entry hosts, stops reading from the platform and closes the
     * journal.
     */
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
     * Returns whether new requests should be sent to this host.
     *
     * @return true while it is not draining or stopping, has a configuration and authority, and the
     *     configuration has neither it nor its availability zone out of service
     */
    public boolean isReady() {
        Configuration configuration = configurationFollower.current();
        return !draining
                && configuration.version() > 0
                && configuration.isEntryHostInService(identity.name(), identity.availabilityZone())
                && membership.hasAuthority();
    }

    /**
     * Returns whether this host may accept commands of operators.
     *
     * @return true while it has authority, which needs the acknowledgements of a majority of the
     *     entry hosts
     */
    public boolean hasAuthority() {
        return membership.hasAuthority();
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return the requests in progress or waiting
     */
    public int requestsInProgress() {
        return requestHandler.inProgress();
    }

    /**
     * Returns the number of claims of non-idempotent requests that are open or whose outcome is not
     * yet durable.
     *
     * @return the unsettled claims, zero once this host may stop
     */
    public int unsettledClaims() {
        return ledger.unsettledClaims();
    }

    /**
     * Returns a future that completes when the journal, which {@link #stop} closes, is durable.
     *
     * @return completes once all entries and the end marker of this host are durable, which
     *     requires that the object store is available
     */
    public CompletableFuture<Void> journalClosed() {
        return journal.closed();
    }

    /**
     * Returns the inquiry that reports the outcome of requests from the journals.
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
     * @return the tickets, which can be filed and shown
     */
    public Tickets tickets() {
        return tickets;
    }

    /**
     * Returns the membership.
     *
     * @return the membership, for queries only
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
     * Returns the slots and queue of each service.
     *
     * @return one entry for each service, in the order of the services' names
     */
    public List<ServiceLoad> serviceLoads() {
        return routers.load();
    }

    /**
     * Returns the number of backend servers whose warm-up this host coordinates.
     *
     * @return the number of coordinated servers
     */
    public int coordinatedServerCount() {
        return routers.coordinatedServers().size();
    }

    /**
     * Returns the number of requests that wait for a slot.
     *
     * @return the number of waiting requests of all services
     */
    public int waitingRequests() {
        return routers.waitingRequests();
    }
}
