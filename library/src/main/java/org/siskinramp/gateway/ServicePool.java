package org.siskinramp.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.queue.WaitingQueue;
import org.siskinramp.result.ResultCode;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.routing.DeferredActions;

/**
 * Serves the requests of one service: queues them, searches for backend servers with free capacity,
 * and retries or refuses requests. Guarded by the lock of the gateway.
 */
final class ServicePool implements AttemptDispatcher.AttemptEndListener {

    /** Maximum sends of one request, including connections that failed before a byte was sent. */
    private static final int MAXIMUM_SENDS = 8;

    /** How long after the deadline of a request its server's own answer is still awaited. */
    private static final long FINAL_ANSWER_GRACE_MILLISECONDS = 40;

    private final String service;
    private final GatewayEnvironment environment;
    private final LockedExecutor lockedExecutor;
    private final Supplier<RouteTable> routes;
    private final CrashDetector crashDetector;
    private final ServiceRateLimits rateLimits;
    private final ServerEligibility eligibility;
    private final AttemptDispatcher dispatcher;
    private final RequestCompletion completion;
    private final ServerSearch search;
    private final ConcurrencyLimit concurrencyLimit;
    private final PlacementPolicy placementPolicy;
    private final RetryController retryController;
    private final StartRate startRate = new StartRate();
    private final WaitingQueue<RequestContext> queue = new WaitingQueue<>();
    private final ServiceTimes serviceTimes = new ServiceTimes();

    ServicePool(
            String service,
            GatewayEnvironment environment,
            GatewayOptions options,
            Fleet fleet,
            LockedExecutor lockedExecutor,
            Supplier<RouteTable> routes,
            HostShare hostShare,
            CrashDetector crashDetector,
            ProbeSender probeSender,
            AnnouncementHandler announcements) {
        this.service = service;
        this.environment = environment;
        this.lockedExecutor = lockedExecutor;
        this.routes = routes;
        this.crashDetector = crashDetector;
        rateLimits = new ServiceRateLimits(service, fleet, hostShare);
        eligibility =
                new ServerEligibility(
                        service,
                        environment,
                        options,
                        fleet,
                        hostShare,
                        rateLimits,
                        this::coldRequestsPerSecond);
        dispatcher =
                new AttemptDispatcher(
                        environment, fleet, lockedExecutor, crashDetector, announcements, this);
        completion = new RequestCompletion(environment);
        concurrencyLimit = new ConcurrencyLimit(crashDetector.resetLimit(service));
        placementPolicy = new PlacementPolicy(environment.availabilityZone(), concurrencyLimit);
        retryController = new RetryController(service, environment, options, hostShare);
        search =
                new ServerSearch(
                        this, environment, options, lockedExecutor, crashDetector, probeSender);
    }

    PlacementPolicy placementPolicy() {
        return placementPolicy;
    }

    int waitingCount() {
        return queue.size();
    }

    /** Queues a new request and starts a search for a server, or refuses it at once. */
    void submit(RequestContext context, DeferredActions deferred) {
        long now = now();
        retryController.countRequest(now);
        search.refillProbeBudget();
        if (crashDetector.isQuarantined(context)) {
            completion.refuseQuarantined(
                    context, crashDetector.quarantineMilliseconds(context), deferred);
            return;
        }
        crashDetector.beginTrialIfDue(context);
        if (eligibility.hasNoUsableServer(now)) {
            refuseWithoutServer(context, deferred);
            return;
        }
        long latestStart = serviceTimes.latestStart(context);
        int ahead = queue.countAhead(-context.rank(), latestStart);
        int requestsToStart = Math.max(0, ahead + 1 - ServerSearch.MAXIMUM_CONCURRENT_SEARCHES);
        long waitMilliseconds = startRate.expectedWaitMilliseconds(requestsToStart, now);
        if (AdmissionRule.startsTooLate(now, waitMilliseconds, latestStart)) {
            completion.refuse(
                    context, ResultCode.DEADLINE_UNREACHABLE, "queue", waitMilliseconds, deferred);
            return;
        }
        long rateLimitWait = rateLimits.waitMilliseconds(ahead + 1, now);
        if (AdmissionRule.startsTooLate(now, rateLimitWait, latestStart)) {
            refuseRateLimited(context, rateLimitWait, deferred);
            return;
        }
        long remainingMilliseconds =
                context.request().deadlineMilliseconds() - now + FINAL_ANSWER_GRACE_MILLISECONDS;
        deferred.add(
                () ->
                        schedule(
                                remainingMilliseconds,
                                innerDeferred -> endAtDeadline(context, innerDeferred)),
                () -> lockedExecutor.run(innerDeferred -> endAtDeadline(context, innerDeferred)));
        enqueue(context, latestStart, deferred);
        processQueue(deferred);
    }

    private void schedule(long delayMilliseconds, Consumer<DeferredActions> command) {
        environment
                .scheduler()
                .schedule(Math.max(0, delayMilliseconds), () -> lockedExecutor.run(command));
    }

    private void enqueue(RequestContext context, long latestStart, DeferredActions deferred) {
        long now = now();
        context.beginWaiting(now, latestStart);
        queue.add(context, -context.rank(), latestStart);
        deferred.add(
                () ->
                        schedule(
                                latestStart - now,
                                innerDeferred -> placeOrRefuse(context, innerDeferred)));
    }

    /**
     * Chooses the next request for a server: by rank, then by latest start. A request that is
     * unlikely to meet its objective yields to others of its rank. Under overload, if the request
     * that has waited longest always came first, all would start so late that half of them would
     * miss their objective.
     */
    private Optional<RequestContext> nextRequestFor(KnownServer server, long now) {
        Predicate<RequestContext> untried = waiting -> !waiting.hasTried(server.server().name());
        Optional<RequestContext> first = queue.findFirst(untried);
        if (first.isEmpty() || serviceTimes.meetsObjective(first.get(), now)) {
            return first;
        }
        int rank = first.get().rank();
        return queue.findFirst(
                        untried.and(
                                waiting ->
                                        waiting.rank() == rank
                                                && serviceTimes.meetsObjective(waiting, now)))
                .or(() -> first);
    }

    long medianServiceTimeMilliseconds(RequestContext context) {
        return serviceTimes.medianMilliseconds(context);
    }

    /**
     * At the latest start of a waiting request, places it on any server with free capacity, or
     * refuses it if there is none.
     */
    private void placeOrRefuse(RequestContext context, DeferredActions deferred) {
        if (!context.isWaiting() || now() < context.latestStart()) {
            return;
        }
        search.findServerWithCapacity(context)
                .ifPresent(server -> place(server, "last_chance", deferred));
        if (context.isWaiting()) {
            dequeue(context);
            refuseOrFail(context, ResultCode.DEADLINE_UNREACHABLE, "no_room", deferred);
        }
        processQueue(deferred);
    }

    /** Fails or refuses a request that has not completed by its deadline. */
    private void endAtDeadline(RequestContext context, DeferredActions deferred) {
        if (context.isCompleted()) {
            return;
        }
        dequeue(context);
        boolean sent = !context.openAttempts().isEmpty();
        dispatcher.cancelAttempts(context, deferred);
        if (sent || context.mayHaveRun()) {
            completion.fail(context, ResultCode.TIMED_OUT, "no_answer", deferred);
        } else {
            refuseOrFail(context, ResultCode.DEADLINE_UNREACHABLE, "time_is_over", deferred);
        }
    }

    private void refuseOrFail(
            RequestContext context,
            ResultCode notRunCode,
            String reason,
            DeferredActions deferred) {
        if (context.mayHaveRun()) {
            completion.fail(context, ResultCode.BACKEND_SERVER_FAILED, reason, deferred);
        } else if (crashDetector.isQuarantined(context)) {
            completion.refuseQuarantined(
                    context, crashDetector.quarantineMilliseconds(context), deferred);
        } else {
            refuseWaiting(context, notRunCode, reason, deferred);
        }
    }

    private void refuseWaiting(
            RequestContext context, ResultCode code, String reason, DeferredActions deferred) {
        int requestsToStart = queue.size() + 1;
        long rateLimitWait = rateLimits.waitMilliseconds(requestsToStart, now());
        if (rateLimitWait > 0) {
            refuseRateLimited(context, rateLimitWait, deferred);
        } else {
            long waitMilliseconds = startRate.expectedWaitMilliseconds(requestsToStart, now());
            completion.refuse(context, code, reason, waitMilliseconds, deferred);
        }
    }

    /** Refuses a request that the rate limits of all servers do not allow in time. */
    private void refuseRateLimited(
            RequestContext context, long waitMilliseconds, DeferredActions deferred) {
        long delay = rateLimits.scheduleReturn(waitMilliseconds, now());
        completion.refuseUntil(
                context, ResultCode.DEADLINE_UNREACHABLE, "rate_limited", delay, deferred);
    }

    /**
     * Refuses a request while no server may receive requests. If servers are paused, the
     * retry-after delay lasts until the first pause ends.
     */
    private void refuseWithoutServer(RequestContext context, DeferredActions deferred) {
        OptionalLong pauseEnd = eligibility.earliestPauseEnd(now());
        if (pauseEnd.isPresent()) {
            long waitMilliseconds = pauseEnd.getAsLong() - now();
            completion.refuseUntil(
                    context, ResultCode.NO_BACKEND_SERVER, "all_pause", waitMilliseconds, deferred);
        } else {
            completion.refuse(
                    context, ResultCode.NO_BACKEND_SERVER, "no_backend_server", 0, deferred);
        }
    }

    /** Refuses the waiting requests whose content is quarantined. */
    void refuseQuarantined(DeferredActions deferred) {
        Optional<RequestContext> next = queue.findFirst(crashDetector::isQuarantined);
        while (next.isPresent()) {
            dequeue(next.get());
            refuseOrFail(next.get(), ResultCode.QUARANTINED, "quarantined", deferred);
            next = queue.findFirst(crashDetector::isQuarantined);
        }
        processQueue(deferred);
    }

    private void dequeue(RequestContext context) {
        if (context.isWaiting()) {
            context.endWaiting();
            var unused = queue.removeFirst(waiting -> waiting == context);
        }
        retryController.release(context);
    }

    /** Cancels a request whose caller has disconnected. */
    void cancel(RequestContext context, DeferredActions deferred) {
        dequeue(context);
        if (completion.cancel(context)) {
            dispatcher.cancelAttempts(context, deferred);
        }
        processQueue(deferred);
    }

    /**
     * Starts searches for waiting requests, up to the limit. Refuses or fails all waiting requests
     * if no server may receive requests.
     */
    void processQueue(DeferredActions deferred) {
        if (queue.size() > 0 && eligibility.hasNoUsableServer(now())) {
            for (RequestContext context : queue.removeAll()) {
                context.endWaiting();
                if (context.mayHaveRun()) {
                    completion.fail(
                            context,
                            ResultCode.BACKEND_SERVER_FAILED,
                            "no_backend_server",
                            deferred);
                } else {
                    refuseWithoutServer(context, deferred);
                }
            }
        }
        search.startSearches(queue, deferred);
    }

    /**
     * Places the next waiting request on a server with free capacity.
     *
     * @return false if no waiting request may use the server, or if the rate limit of the server or
     *     its cold start does not allow this host another request now
     */
    boolean place(KnownServer server, String reason, DeferredActions deferred) {
        long now = now();
        if (!eligibility.maySend(server, now)) {
            return false;
        }
        Optional<RequestContext> next = nextRequestFor(server, now);
        if (next.isEmpty()) {
            return false;
        }
        RequestContext context = next.get();
        eligibility.recordSend(server, now);
        retryController.countSent(context, now);
        dequeue(context);
        startRate.recordStart(now);
        dispatcher.dispatch(
                context, server, context.sendCount() == 0 ? reason : "repeat", deferred);
        return true;
    }

    private double coldRequestsPerSecond() {
        return routes.get().service(service).map(RoutedService::coldRequestsPerSecond).orElse(0.0);
    }

    /** Drops expired state, and probes rate limited servers to detect the end of their limits. */
    void tick(DeferredActions deferred) {
        eligibility.removeDepartedServers();
        rateLimits.serversToProbe(now()).forEach(server -> search.probe(server, deferred));
    }

    @Override
    public void attemptEnded(
            AttemptDispatcher.InFlightAttempt attempt,
            AttemptAnswer answer,
            AttemptVerdict verdict,
            DeferredActions deferred) {
        RequestContext context = attempt.context();
        if (verdict == AttemptVerdict.DELIVER) {
            recordLatency(attempt);
        }
        if (!context.isCompleted()) {
            applyVerdict(attempt, answer, verdict, deferred);
        }
        reuseFreedSlot(attempt.server(), deferred);
        processQueue(deferred);
    }

    private void recordLatency(AttemptDispatcher.InFlightAttempt attempt) {
        long tookMilliseconds = now() - attempt.sentAt();
        serviceTimes.record(attempt.context(), tookMilliseconds, attempt.serviceTimePercent());
        concurrencyLimit.recordLatency(
                attempt.context().route().name(),
                tookMilliseconds,
                attempt.estimatedRequestsInProgress(),
                attempt.server().server().slots());
    }

    private void applyVerdict(
            AttemptDispatcher.InFlightAttempt attempt,
            AttemptAnswer answer,
            AttemptVerdict verdict,
            DeferredActions deferred) {
        RequestContext context = attempt.context();
        boolean retryable =
                verdict != AttemptVerdict.DELIVER
                        && verdict != AttemptVerdict.FAIL
                        && !crashDetector.isQuarantined(context)
                        && !(verdict == AttemptVerdict.REPEAT_OR_FAIL
                                && crashDetector.mayCrashAnother(context));
        if (retryable && tryRetry(context, deferred)) {
            return;
        }
        switch (verdict) {
            case DELIVER, REPEAT_OR_DELIVER ->
                    completion.answer(context, answer.answer(), deferred);
            case REPEAT_OR_REFUSE -> refuseShed(context, attempt.server(), deferred);
            default -> completion.fail(context, failureCode(context), "server_failed", deferred);
        }
    }

    /** Refuses a request that servers shed, for a short time if they shed it despite free slots. */
    private void refuseShed(RequestContext context, KnownServer server, DeferredActions deferred) {
        boolean hasRoom =
                queue.size() == 0 && server.hasFreeSlot() && !eligibility.hasNoUsableServer(now());
        if (hasRoom && !context.mayHaveRun() && !crashDetector.isQuarantined(context)) {
            completion.refuseShedWithRoom(context, deferred);
        } else {
            refuseOrFail(context, ResultCode.SHED, "shed", deferred);
        }
    }

    private static ResultCode failureCode(RequestContext context) {
        return context.route().isIdempotent()
                ? ResultCode.BACKEND_SERVER_FAILED
                : ResultCode.OUTCOME_UNKNOWN;
    }

    private boolean tryRetry(RequestContext context, DeferredActions deferred) {
        long now = now();
        long latestStart =
                context.request().deadlineMilliseconds() - medianServiceTimeMilliseconds(context);
        boolean possible =
                context.deliveredAttempts() < context.route().attemptLimit()
                        && context.sendCount() < MAXIMUM_SENDS
                        && context.openAttempts().isEmpty()
                        && now < latestStart
                        && !eligibility.eligibleFor(context, now).isEmpty();
        if (!possible) {
            return false;
        }
        if (context.deliveredAttempts() > 0 && !retryController.reserve(context, now)) {
            return false;
        }
        enqueue(context, latestStart, deferred);
        return true;
    }

    /** Reuses the slot that an ended attempt left free, without another probe. */
    private void reuseFreedSlot(KnownServer server, DeferredActions deferred) {
        if (queue.size() > 0
                && server.hasLoadReport()
                && eligibility.isHealthy(server, now())
                && server.estimatedRequestsInProgress()
                        < ConcurrencyLimit.kneeConcurrency(server.server().slots())
                && isAcceptedByNextRequest(server)) {
            place(server, "room_left", deferred);
        }
    }

    private boolean isAcceptedByNextRequest(KnownServer server) {
        return nextRequestFor(server, now())
                .filter(context -> search.acceptsServer(context, server))
                .isPresent();
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }

    /** Returns the servers that a request may be placed on now. */
    List<KnownServer> eligibleServers(RequestContext context) {
        return eligibility.eligibleFor(context, now());
    }
}
