package org.siskinramp.gateway;

import java.util.List;
import java.util.Optional;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.queue.WaitingQueue;
import org.siskinramp.routing.DeferredActions;

/**
 * Searches for backend servers with free capacity by probing a few of them at a time. A search is
 * started for one waiting request, but the server that it finds is given to the most urgent waiting
 * request. Guarded by the lock of the gateway.
 */
final class ServerSearch {

    /**
     * Concurrent searches of one service; more searches would only probe the same servers again.
     */
    static final int MAXIMUM_CONCURRENT_SEARCHES = 6;

    /**
     * Maximum age of a load report that is used without another probe. The service time of a server
     * changes several times a second.
     */
    private static final long FRESH_REPORT_MILLISECONDS = 3;

    /** Maximum age of a load report that is compared with those of the current round. */
    private static final long RECENT_REPORT_MILLISECONDS = 6;

    /** Maximum age of a load report for a request that would otherwise be refused. */
    private static final long LAST_CHANCE_REPORT_MILLISECONDS = 60;

    /** Maximum age of a load report while no further probes can be sent. */
    private static final long STALE_REPORT_MILLISECONDS = 400;

    /** How long a round waits for outstanding probes if at least one has been answered. */
    private static final long ROUND_TIMEOUT_MILLISECONDS = 15;

    /** The time after which a round ends even if no probe has been answered. */
    private static final long MAXIMUM_ROUND_MILLISECONDS = 60;

    private static final long INITIAL_BACKOFF_MILLISECONDS = 2;
    private static final int ROUNDS_TO_MAXIMUM_BACKOFF = 4;
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 30;

    /** A placement of at most this expected cost ends the round without waiting for others. */
    private static final double NEGLIGIBLE_COST_MILLISECONDS = 5;

    /** Maximum expected cost of a placement, as a share of the time until the latest start. */
    private static final double ACCEPTED_COST_SHARE = 0.25;

    /** Share of its possible wait during which a request accepts only placements of low cost. */
    private static final double SELECTIVE_WAIT_SHARE = 0.25;

    /**
     * The same share for a placement on a slow server. A request that starts on a slow server stays
     * slow until its end, so the answer would come late.
     */
    private static final double SLOW_SERVER_WAIT_SHARE = 0.85;

    /** Cost added to a placement in another availability zone. */
    private static final double CROSS_ZONE_COST_MILLISECONDS = 30;

    /** Servers probed in the first round; later rounds probe more. */
    private static final int FIRST_ROUND_CANDIDATES = 2;

    /** Average probes per request: a first round, and a second one for one request in three. */
    private static final double PROBES_PER_REQUEST = 3;

    /** Probes that may be saved up for requests that need a long search. */
    private static final double PROBE_BURST = 60;

    private final ServicePool pool;
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final LockedExecutor lockedExecutor;
    private final CrashDetector crashDetector;
    private final ProbeSender probeSender;
    private final TokenBucket probeBudget = new TokenBucket(PROBE_BURST);
    private int activeSearches;

    ServerSearch(
            ServicePool pool,
            GatewayEnvironment environment,
            GatewayOptions options,
            LockedExecutor lockedExecutor,
            CrashDetector crashDetector,
            ProbeSender probeSender) {
        this.pool = pool;
        this.environment = environment;
        this.options = options;
        this.lockedExecutor = lockedExecutor;
        this.crashDetector = crashDetector;
        this.probeSender = probeSender;
    }

    /**
     * Adds the probes of a new request to the budget. Tying probes to requests bounds the probes of
     * all hosts without any host knowing how many other hosts there are.
     */
    void refillProbeBudget() {
        probeBudget.refill(PROBES_PER_REQUEST);
    }

    /** Starts searches for waiting requests that have none, up to the limit. */
    void startSearches(WaitingQueue<RequestContext> queue, DeferredActions deferred) {
        while (activeSearches < MAXIMUM_CONCURRENT_SEARCHES) {
            Optional<RequestContext> next = queue.findFirst(context -> !context.isSearching());
            if (next.isEmpty()) {
                return;
            }
            activeSearches++;
            next.get().setSearching(true);
            runRound(next.get(), deferred);
        }
    }

    private void endSearch(RequestContext context) {
        if (context.isSearching()) {
            activeSearches--;
            context.setSearching(false);
        }
    }

    /** Runs a step of a search. If the step fails, the search ends, so that another can start. */
    private void runStep(RequestContext context, Runnable step) {
        if (!context.isSearching()) {
            return;
        }
        try {
            step.run();
        } catch (RuntimeException | Error failure) {
            endSearch(context);
            throw failure;
        }
    }

    /** Returns an action that ends a search whose next step could not be scheduled. */
    private Runnable endSearchLocked(RequestContext context) {
        return () -> lockedExecutor.run(deferred -> endSearch(context));
    }

    private void runRound(RequestContext context, DeferredActions deferred) {
        runStep(context, () -> searchFreshOrProbe(context, deferred));
    }

    private void searchFreshOrProbe(RequestContext context, DeferredActions deferred) {
        if (!context.isWaiting()) {
            endSearch(context);
            pool.processQueue(deferred);
            return;
        }
        List<KnownServer> servers = pool.eligibleServers(context);
        Optional<PlacementPolicy.Placement> fresh =
                choose(context, servers, FRESH_REPORT_MILLISECONDS)
                        .filter(placement -> isCheap(placement, context));
        if (fresh.isPresent() && pool.place(fresh.get().server(), "fresh_sight", deferred)) {
            endSearch(context);
            return;
        }
        List<KnownServer> probed =
                ProbeCandidates.select(
                        servers, candidateCount(context), now(), environment.random());
        if (probed.isEmpty() || !probeBudget.tryAcquire(probed.size())) {
            finishRound(context, STALE_REPORT_MILLISECONDS, deferred);
            return;
        }
        startRound(new ProbeRound(context, probed.size()), probed, deferred);
    }

    private int candidateCount(RequestContext context) {
        return context.searchRounds() == 0
                ? Math.min(FIRST_ROUND_CANDIDATES, options.probeCandidates())
                : options.probeCandidates();
    }

    private void startRound(ProbeRound round, List<KnownServer> probed, DeferredActions deferred) {
        for (KnownServer server : probed) {
            sendProbe(
                    server,
                    (answered, innerDeferred) ->
                            handleRoundProbeEnd(round, server, answered, innerDeferred),
                    deferred);
        }
        deferred.add(() -> scheduleRoundEnd(round, ROUND_TIMEOUT_MILLISECONDS));
        deferred.add(
                () -> scheduleRoundEnd(round, MAXIMUM_ROUND_MILLISECONDS),
                endSearchLocked(round.context));
    }

    private void scheduleRoundEnd(ProbeRound round, long delayMilliseconds) {
        environment
                .scheduler()
                .schedule(
                        delayMilliseconds,
                        () ->
                                lockedExecutor.run(
                                        deferred -> {
                                            boolean last =
                                                    delayMilliseconds == MAXIMUM_ROUND_MILLISECONDS;
                                            if (!round.finished
                                                    && (last || round.answeredProbes > 0)) {
                                                finishRound(round, deferred);
                                            }
                                        }));
    }

    private boolean hasCheapPlacement(ProbeRound round, KnownServer server) {
        RequestContext context = round.context;
        return choose(context, List.of(server), FRESH_REPORT_MILLISECONDS)
                .filter(placement -> placement.costMilliseconds() <= NEGLIGIBLE_COST_MILLISECONDS)
                .isPresent();
    }

    private void finishRound(ProbeRound round, DeferredActions deferred) {
        round.finished = true;
        finishRound(round.context, RECENT_REPORT_MILLISECONDS, deferred);
    }

    private void finishRound(
            RequestContext context, long maximumReportAgeMilliseconds, DeferredActions deferred) {
        runStep(context, () -> placeOrContinue(context, maximumReportAgeMilliseconds, deferred));
    }

    private void placeOrContinue(
            RequestContext context, long maximumReportAgeMilliseconds, DeferredActions deferred) {
        if (!context.isWaiting()) {
            endSearch(context);
            pool.processQueue(deferred);
            return;
        }
        Optional<PlacementPolicy.Placement> placement =
                choose(context, pool.eligibleServers(context), maximumReportAgeMilliseconds)
                        .filter(candidate -> isAcceptable(candidate, context));
        if (placement.isPresent() && pool.place(placement.get().server(), "search", deferred)) {
            endSearch(context);
            pool.processQueue(deferred);
            return;
        }
        long backoffMilliseconds =
                context.searchRounds() < ROUNDS_TO_MAXIMUM_BACKOFF
                        ? INITIAL_BACKOFF_MILLISECONDS << context.searchRounds()
                        : MAXIMUM_BACKOFF_MILLISECONDS;
        context.countSearchRound();
        deferred.add(
                () ->
                        environment
                                .scheduler()
                                .schedule(
                                        backoffMilliseconds,
                                        () ->
                                                lockedExecutor.run(
                                                        innerDeferred ->
                                                                runRound(context, innerDeferred))),
                endSearchLocked(context));
    }

    /** Chooses among the servers whose load report is recent enough. */
    private Optional<PlacementPolicy.Placement> choose(
            RequestContext context, List<KnownServer> servers, long maximumReportAgeMilliseconds) {
        long now = now();
        List<KnownServer> recent =
                servers.stream()
                        .filter(
                                server ->
                                        server.loadReportAgeMilliseconds(now)
                                                <= maximumReportAgeMilliseconds)
                        .toList();
        List<KnownServer> usable =
                recent.isEmpty()
                        ? withoutLoadReport(servers, maximumReportAgeMilliseconds)
                        : recent;
        return pool.placementPolicy()
                .choose(
                        usable,
                        pool.medianServiceTimeMilliseconds(context),
                        CROSS_ZONE_COST_MILLISECONDS);
    }

    /**
     * Returns the servers that have sent no load report, whose load is estimated from this host's
     * own requests; none of them if a fresh report is required.
     */
    private static List<KnownServer> withoutLoadReport(
            List<KnownServer> servers, long maximumReportAgeMilliseconds) {
        if (maximumReportAgeMilliseconds == FRESH_REPORT_MILLISECONDS) {
            return List.of();
        }
        return servers.stream().filter(server -> !server.hasLoadReport()).toList();
    }

    /** Accepts any placement once the request has waited long enough for a cheap one. */
    private boolean isAcceptable(PlacementPolicy.Placement placement, RequestContext context) {
        long now = now();
        long waitedMilliseconds = context.waitedMilliseconds(now);
        double waitShare = placement.isSlow() ? SLOW_SERVER_WAIT_SHARE : SELECTIVE_WAIT_SHARE;
        return isCheap(placement, context)
                || waitedMilliseconds
                        > waitShare * (waitedMilliseconds + context.latestStart() - now);
    }

    /** Finds a server that recently had free capacity, however slow it is. */
    Optional<KnownServer> findServerWithCapacity(RequestContext context) {
        return choose(context, pool.eligibleServers(context), LAST_CHANCE_REPORT_MILLISECONDS)
                .map(PlacementPolicy.Placement::server);
    }

    /** Tells whether a request accepts a server whose load report is fresh. */
    boolean acceptsServer(RequestContext context, KnownServer server) {
        return choose(context, List.of(server), FRESH_REPORT_MILLISECONDS)
                .filter(placement -> isAcceptable(placement, context))
                .isPresent();
    }

    private boolean isCheap(PlacementPolicy.Placement placement, RequestContext context) {
        return placement.costMilliseconds()
                <= ACCEPTED_COST_SHARE * (context.latestStart() - now());
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }

    /** Probes a server for no request in particular. */
    void probe(KnownServer server, DeferredActions deferred) {
        sendProbe(server, (answered, innerDeferred) -> {}, deferred);
    }

    private void sendProbe(
            KnownServer server, ProbeEndListener listener, DeferredActions deferred) {
        probeSender.send(server, new LoadProbe(server, listener), deferred);
    }

    private void handleRoundProbeEnd(
            ProbeRound round, KnownServer server, boolean answered, DeferredActions deferred) {
        round.answeredProbes += answered ? 1 : 0;
        round.pendingProbes--;
        if (!round.finished && (round.pendingProbes == 0 || hasCheapPlacement(round, server))) {
            finishRound(round, deferred);
        }
    }

    /** Is notified when the result of a probe was recorded. */
    @FunctionalInterface
    private interface ProbeEndListener {
        void probeEnded(boolean answered, DeferredActions deferred);
    }

    /** Records the result of one probe. */
    private final class LoadProbe implements ProbeSender.Listener {

        private final KnownServer server;
        private final ProbeEndListener listener;

        private LoadProbe(KnownServer server, ProbeEndListener listener) {
            this.server = server;
            this.listener = listener;
        }

        @Override
        public void answered(LoadReport report, DeferredActions deferred) {
            long now = now();
            server.recordAnswerLoadReport(report, now);
            server.recordHealthCheck(!report.leaving(), now);
            listener.probeEnded(true, deferred);
        }

        @Override
        public void failed(AttemptException failure, DeferredActions deferred) {
            long now = now();
            server.recordLoadReport(failure.loadReport(), now);
            server.recordConnectionFailure(now);
            crashDetector.recordFailure(server, failure.failure(), deferred);
            listener.probeEnded(false, deferred);
        }
    }

    /** Counts the probes of one round. */
    private static final class ProbeRound {

        private final RequestContext context;
        private int pendingProbes;
        private int answeredProbes;
        private boolean finished;

        private ProbeRound(RequestContext context, int pendingProbes) {
            this.context = context;
            this.pendingProbes = pendingProbes;
        }
    }
}
