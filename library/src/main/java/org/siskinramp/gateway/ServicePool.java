package org.siskinramp.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.health.LatencyWindow;
import org.siskinramp.log.Counter;
import org.siskinramp.queue.WaitingQueue;
import org.siskinramp.result.ResultCode;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.routing.Effects;

/**
 * Serves the requests of one service: keeps those that wait, looks for backend servers with room,
 * and repeats or turns away. It is guarded by the lock of the gateway.
 */
final class ServicePool implements AttemptDesk.EndListener {

    /** Connections that failed before a byte was sent may be tried this often. */
    private static final int SENDS_AT_MOST = 8;

    /** How long after the end of a request's time its own server's last answer is awaited. */
    private static final long FINAL_ANSWER_MILLISECONDS = 40;

    /** The expected part of the objective that work takes, before any answer is known. */
    private static final int FIRST_LATENCY_PART = 3;

    private static final double MEDIAN = 0.5;

    /** Of ten requests that start by this quantile of their work, nine end in their objective. */
    private static final double NEARLY_ALL = 0.9;

    private static final int USUAL_PACE_PERCENT = 100;

    private final String service;
    private final GatewayEnvironment environment;
    private final Locked locked;
    private final Supplier<RouteTable> routes;
    private final HostCount hosts;
    private final CrashWatch crashes;
    private final ServerScope scope;
    private final AttemptDesk desk;
    private final RunEnds ends;
    private final SearchDesk searches;
    private final ConcurrencyLimit limit = new ConcurrencyLimit();
    private final PlacementChoice placement;
    private final Repeats repeats;
    private final StartRate startRate = new StartRate();
    private final WaitingQueue<GatewayRun> queue = new WaitingQueue<>();
    private final Map<String, LatencyWindow> latencies = new HashMap<>();

    ServicePool(
            String service,
            GatewayEnvironment environment,
            GatewayOptions options,
            Fleet fleet,
            Locked locked,
            Supplier<RouteTable> routes,
            HostCount hosts,
            CrashWatch crashes,
            Probes probes,
            Announcements announcements) {
        this.service = service;
        this.environment = environment;
        this.locked = locked;
        this.routes = routes;
        this.hosts = hosts;
        this.crashes = crashes;
        scope = new ServerScope(service, environment, options, fleet, newColdRate());
        desk = new AttemptDesk(environment, fleet, locked, crashes, announcements, this);
        ends = new RunEnds(environment);
        placement = new PlacementChoice(environment.availabilityZone(), limit);
        repeats = new Repeats(service, environment, options, hosts);
        searches = new SearchDesk(this, environment, options, locked, crashes, probes);
    }

    PlacementChoice placement() {
        return placement;
    }

    int waiting() {
        return queue.size();
    }

    /** Takes a new request in: looks for a server, or turns it away at once. */
    void submit(GatewayRun run, Effects effects) {
        long now = now();
        repeats.countRequest(now);
        searches.countRequest();
        if (crashes.holdsBack(run)) {
            ends.holdBack(run, crashes.heldBackMilliseconds(run), effects);
            return;
        }
        crashes.admit(run);
        if (scope.isEmpty(now)) {
            refuseWithoutServer(run, effects);
            return;
        }
        long latestStart = latestStart(run);
        int ahead = queue.countAhead(-run.route().rank(), latestStart);
        int behind = Math.max(0, ahead + 1 - SearchDesk.SEARCHES_AT_MOST);
        long wait = startRate.expectedMilliseconds(behind, now);
        if (AdmissionRule.comesTooLate(now, wait, latestStart)) {
            ends.refuse(run, ResultCode.DEADLINE_UNREACHABLE, "queue", wait, effects);
            return;
        }
        long lasts = run.request().deadlineMilliseconds() - now + FINAL_ANSWER_MILLISECONDS;
        effects.add(() -> schedule(lasts, held -> expire(run, held)));
        enqueue(run, latestStart, effects);
        pump(effects);
    }

    private void schedule(long delay, Consumer<Effects> command) {
        environment.scheduler().schedule(Math.max(0, delay), () -> locked.run(command));
    }

    private void enqueue(GatewayRun run, long latestStart, Effects effects) {
        long now = now();
        run.beginWaiting(now, latestStart);
        queue.add(run, -run.route().rank(), latestStart);
        effects.add(() -> schedule(latestStart - now, held -> turnAway(run, held)));
    }

    private long latestStart(GatewayRun run) {
        return latestStart(run, MEDIAN);
    }

    /** Returns when a request must start so that this share of such work ends in its objective. */
    private long latestStart(GatewayRun run, double share) {
        return Math.min(
                run.request().deadlineMilliseconds() - 1,
                AdmissionRule.latestStart(
                        run.request().arrivedMilliseconds(),
                        run.route().objectiveMilliseconds(),
                        workMilliseconds(run, share)));
    }

    /**
     * Chooses the request that gets a server: by rank, then by time. One that will hardly end in
     * its objective any more lets others of its rank go first. Answers more work than all servers
     * bear: if the longest waiting were always next, all would start so late that half of them
     * earned nothing.
     */
    private Optional<GatewayRun> nextFor(KnownServer server, long now) {
        Predicate<GatewayRun> untried = waiting -> !waiting.hasTried(server.server().name());
        Optional<GatewayRun> first = queue.findFirst(untried);
        if (first.isEmpty() || endsInTime(first.get(), now)) {
            return first;
        }
        int rank = first.get().route().rank();
        return queue.findFirst(
                        untried.and(
                                waiting ->
                                        waiting.route().rank() == rank && endsInTime(waiting, now)))
                .or(() -> first);
    }

    private boolean endsInTime(GatewayRun run, long now) {
        return now <= latestStart(run, NEARLY_ALL);
    }

    long typicalMilliseconds(GatewayRun run) {
        return workMilliseconds(run, MEDIAN);
    }

    /** Returns a quantile of the time that such work takes on a server of usual pace. */
    private long workMilliseconds(GatewayRun run, double quantile) {
        long first = run.route().objectiveMilliseconds() / FIRST_LATENCY_PART;
        LatencyWindow window = latencies.get(kindOf(run));
        return window == null ? first : window.quantile(quantile, first);
    }

    private static String kindOf(GatewayRun run) {
        return run.route().name();
    }

    /** Takes any server with room for a request that found no good one in time, or refuses it. */
    private void turnAway(GatewayRun run, Effects effects) {
        if (!run.isWaiting() || now() < run.latestStart()) {
            return;
        }
        searches.roomFor(run).ifPresent(server -> place(server, "last_chance", effects));
        if (run.isWaiting()) {
            unqueue(run);
            giveUp(run, ResultCode.DEADLINE_UNREACHABLE, "no_room", effects);
        }
        pump(effects);
    }

    /** Ends a request whose time is over. */
    private void expire(GatewayRun run, Effects effects) {
        if (run.isEnded()) {
            return;
        }
        unqueue(run);
        boolean sent = !run.openAttempts().isEmpty();
        desk.cancel(run, effects);
        if (sent || run.mayHaveRun()) {
            ends.fail(run, ResultCode.TIMED_OUT, "no_answer", effects);
        } else {
            giveUp(run, ResultCode.DEADLINE_UNREACHABLE, "time_is_over", effects);
        }
    }

    private void giveUp(GatewayRun run, ResultCode notRun, String reason, Effects effects) {
        if (run.mayHaveRun()) {
            ends.fail(run, ResultCode.BACKEND_SERVER_FAILED, reason, effects);
        } else if (crashes.holdsBack(run)) {
            ends.holdBack(run, crashes.heldBackMilliseconds(run), effects);
        } else {
            long wait = startRate.expectedMilliseconds(queue.size() + 1, now());
            ends.refuse(run, notRun, reason, wait, effects);
        }
    }

    /** Refuses a request while no server may get one; pauses tell when that ends. */
    private void refuseWithoutServer(GatewayRun run, Effects effects) {
        OptionalLong until = scope.firstReturn(now());
        if (until.isPresent()) {
            long wait = until.getAsLong() - now();
            ends.refuseUntilReturn(run, ResultCode.NO_BACKEND_SERVER, "all_pause", wait, effects);
        } else {
            ends.refuse(run, ResultCode.NO_BACKEND_SERVER, "no_backend_server", 0, effects);
        }
    }

    /** Refuses the waiting requests that are held back from now on. */
    void refuseHeldBack(Effects effects) {
        Optional<GatewayRun> next = queue.findFirst(crashes::holdsBack);
        while (next.isPresent()) {
            unqueue(next.get());
            giveUp(next.get(), ResultCode.QUARANTINED, "quarantined", effects);
            next = queue.findFirst(crashes::holdsBack);
        }
        pump(effects);
    }

    private void unqueue(GatewayRun run) {
        if (run.isWaiting()) {
            run.endWaiting();
            var unused = queue.takeFirst(waiting -> waiting == run);
        }
        repeats.release(run);
    }

    /** Stops the work on a request whose caller has left. */
    void cancel(GatewayRun run, Effects effects) {
        unqueue(run);
        if (run.end()) {
            desk.cancel(run, effects);
            environment.counters().add(Counter.CALLERS_LEFT);
        }
        pump(effects);
    }

    /** Starts searches for waiting requests, as far as there may be more. */
    void pump(Effects effects) {
        if (queue.size() > 0 && scope.isEmpty(now())) {
            for (GatewayRun run : queue.takeAll()) {
                run.endWaiting();
                if (run.mayHaveRun()) {
                    ends.fail(run, ResultCode.BACKEND_SERVER_FAILED, "no_backend_server", effects);
                } else {
                    refuseWithoutServer(run, effects);
                }
            }
        }
        searches.startFor(queue, effects);
    }

    /**
     * Gives a server with room to the first waiting request that may use it.
     *
     * @return false if the server may not get a request now
     */
    boolean place(KnownServer server, String reason, Effects effects) {
        long now = now();
        if (server.isCold(now) && !scope.takeColdTurn(server, now)) {
            return false;
        }
        Optional<GatewayRun> next = nextFor(server, now);
        if (next.isEmpty()) {
            return false;
        }
        GatewayRun run = next.get();
        repeats.send(run, now);
        unqueue(run);
        startRate.add(now);
        desk.start(run, server, run.sendCount() == 0 ? reason : "repeat", effects);
        return true;
    }

    private ServerScope.ColdRate newColdRate() {
        return new ServerScope.ColdRate() {
            @Override
            public double perSecond() {
                return routes.get()
                        .service(service)
                        .map(RoutedService::coldRequestsPerSecond)
                        .orElse(0.0);
            }

            @Override
            public int hosts() {
                return hosts.hosts();
            }
        };
    }

    @Override
    public void ended(
            AttemptDesk.Open attempt,
            AttemptAnswer answer,
            AttemptVerdict verdict,
            Effects effects) {
        GatewayRun run = attempt.run();
        if (verdict == AttemptVerdict.DELIVER) {
            learn(attempt);
        }
        if (!run.isEnded()) {
            follow(run, answer, verdict, effects);
        }
        offer(attempt.server(), effects);
        pump(effects);
    }

    private void learn(AttemptDesk.Open attempt) {
        long took = now() - attempt.sentAt();
        int pace = Math.max(USUAL_PACE_PERCENT, attempt.pacePercent());
        latencies
                .computeIfAbsent(kindOf(attempt.run()), kind -> new LatencyWindow())
                .add(took * USUAL_PACE_PERCENT / pace);
        limit.add(
                kindOf(attempt.run()), took, attempt.occupied(), attempt.server().server().slots());
    }

    private void follow(
            GatewayRun run, AttemptAnswer answer, AttemptVerdict verdict, Effects effects) {
        boolean repeatable =
                verdict != AttemptVerdict.DELIVER
                        && verdict != AttemptVerdict.FAIL
                        && !crashes.holdsBack(run)
                        && !(verdict == AttemptVerdict.REPEAT_OR_FAIL
                                && crashes.mayEndAnother(run));
        if (repeatable && repeat(run, effects)) {
            return;
        }
        switch (verdict) {
            case DELIVER, REPEAT_OR_DELIVER -> ends.answer(run, answer.answer(), effects);
            case REPEAT_OR_REFUSE -> giveUp(run, ResultCode.SHED, "shed", effects);
            default -> ends.fail(run, failureOf(run), "server_failed", effects);
        }
    }

    private static ResultCode failureOf(GatewayRun run) {
        return run.route().isIdempotent()
                ? ResultCode.BACKEND_SERVER_FAILED
                : ResultCode.OUTCOME_UNKNOWN;
    }

    private boolean repeat(GatewayRun run, Effects effects) {
        long now = now();
        long latestStart = run.request().deadlineMilliseconds() - typicalMilliseconds(run);
        boolean possible =
                run.arrivals() < run.route().attemptLimit()
                        && run.sendCount() < SENDS_AT_MOST
                        && run.openAttempts().isEmpty()
                        && now < latestStart
                        && !scope.of(run, now).isEmpty();
        if (!possible) {
            return false;
        }
        if (run.arrivals() > 0 && !repeats.reserve(run, now)) {
            return false;
        }
        enqueue(run, latestStart, effects);
        return true;
    }

    /** Uses the room that the end of an attempt left, without asking the server again. */
    private void offer(KnownServer server, Effects effects) {
        long now = now();
        if (queue.size() > 0
                && server.tellsLoad()
                && scope.isHealthy(server, now)
                && server.occupied() < ConcurrencyLimit.uncrowded(server.server().slots())
                && acceptsRoom(server)) {
            place(server, "room_left", effects);
        }
    }

    private boolean acceptsRoom(KnownServer server) {
        return nextFor(server, now()).filter(run -> searches.accepts(run, server)).isPresent();
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }

    /** Returns the servers that a request may be placed on. */
    List<KnownServer> serversFor(GatewayRun run) {
        return scope.of(run, now());
    }
}
