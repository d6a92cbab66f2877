package org.siskinramp.host;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.ledger.Claim;
import org.siskinramp.ledger.ClaimLedger;
import org.siskinramp.ledger.ClaimResult;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.membership.Membership;
import org.siskinramp.membership.ViewFollower;
import org.siskinramp.peer.ConfigurationNotice;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.RequestRun;
import org.siskinramp.routing.ServiceRouter;
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

    private static final long RETRY_AFTER_STOPPING_MILLISECONDS = 1_000;

    private final HostIdentity identity;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final Counters counters;
    private final long tickIntervalMilliseconds;
    private final ServiceRouters routers;
    private final WarmthWords words;
    private final Membership membership;
    private final ViewFollower viewFollower;
    private final Tickets tickets;
    private final ConfigurationFollower configurationFollower;
    private final ClaimLedger ledger;
    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean refusing;
    private volatile boolean stopped;

    EntryHost(EntryHostBuilder builder) {
        EntryHostParts parts = new EntryHostParts(builder, this::applyConfiguration);
        identity = builder.identity();
        scheduler = builder.scheduler();
        eventLog = builder.eventLog();
        counters = builder.counters();
        tickIntervalMilliseconds = builder.options().tickIntervalMilliseconds();
        routers = parts.routers();
        words = parts.words();
        membership = parts.membership();
        viewFollower = parts.viewFollower();
        tickets = parts.tickets();
        configurationFollower = parts.configurationFollower();
        ledger = parts.ledger();
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

    private void applyConfiguration(Configuration configuration) {
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
        counters.add(Counter.REQUESTS);
        if (refusing) {
            counters.add(Counter.REQUESTS_REFUSED);
            return CompletableFuture.failedFuture(
                    new ResultException(
                            ResultCode.STOPPING,
                            "request=" + request.key(),
                            RETRY_AFTER_STOPPING_MILLISECONDS));
        }
        requestsInProgress.incrementAndGet();
        CompletableFuture<Answer> answer = route(request);
        Futures.whenDone(answer, (result, failure) -> finished(failure));
        return answer;
    }

    private CompletableFuture<Answer> route(Request request) {
        ServiceRouter router = routers.of(request.service()).orElse(null);
        if (router == null) {
            return CompletableFuture.failedFuture(
                    new ResultException(
                            ResultCode.SERVICE_UNKNOWN, "service=" + request.service()));
        }
        return request.kind().idempotent()
                ? router.run(request).answer()
                : runAtMostOnce(request, router);
    }

    private CompletableFuture<Answer> runAtMostOnce(Request request, ServiceRouter router) {
        return router.refusalOf(request)
                .map(CompletableFuture::<Answer>failedFuture)
                .orElseGet(
                        () ->
                                ledger.claim(request)
                                        .thenCompose(
                                                result -> runClaimed(request, router, result)));
    }

    private CompletableFuture<Answer> runClaimed(
            Request request, ServiceRouter router, ClaimResult result) {
        if (result instanceof ClaimResult.Kept kept) {
            counters.add(Counter.REQUESTS_REPLAYED);
            return CompletableFuture.completedFuture(kept.answer());
        }
        Claim claim = ((ClaimResult.Granted) result).claim();
        RequestRun run = router.run(request);
        Futures.whenDone(run.answer(), (answer, failure) -> settle(claim, answer, failure));
        return run.answer();
    }

    private void settle(Claim claim, Answer answer, Throwable failure) {
        Futures.whenDone(settlement(claim, answer, failure), (done, cause) -> logUnsettled(cause));
    }

    private CompletableFuture<Void> settlement(Claim claim, Answer answer, Throwable failure) {
        if (failure == null) {
            return ledger.recordOutcome(claim, answer);
        }
        return ResultException.from(failure).code().isNotRun()
                ? ledger.release(claim)
                : ledger.abandon(claim);
    }

    private void logUnsettled(Throwable failure) {
        if (failure != null) {
            eventLog.record(
                    LogEvent.named("claim_unsettled")
                            .with("code", ResultException.from(failure).code().number()));
        }
    }

    private void finished(Throwable failure) {
        requestsInProgress.decrementAndGet();
        if (failure == null) {
            counters.add(Counter.REQUESTS_ANSWERED);
        } else if (ResultException.from(failure).code().isNotRun()) {
            counters.add(Counter.REQUESTS_REFUSED);
        } else {
            counters.add(Counter.REQUESTS_FAILED);
        }
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
        } else if (message instanceof SlotRelease release) {
            membership.receive(host, release);
        } else if (message instanceof ConfigurationNotice notice) {
            configurationFollower.notice(notice.version());
        } else {
            routers.receive(host, message);
        }
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
        refusing = true;
        eventLog.record(
                LogEvent.named("entry_host_refuses")
                        .with("requests_in_progress", requestsInProgress.get()));
    }

    /** Hands all slots over to the other entry hosts and stops following the platform. */
    public void stop() {
        refuseNewRequests();
        viewFollower.stop();
        configurationFollower.stop();
        membership.stop();
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
        return requestsInProgress.get();
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
