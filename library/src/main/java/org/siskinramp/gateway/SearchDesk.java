package org.siskinramp.gateway;

import java.util.List;
import java.util.Optional;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.queue.WaitingQueue;
import org.siskinramp.routing.Effects;

/**
 * Looks for backend servers with room, by asking a few for their load at a time. A search begins
 * for one waiting request, and what it finds goes to the most urgent one. It is guarded by the lock
 * of the gateway.
 */
final class SearchDesk {

    /** Searches at once for a service; more would ask the same servers again. */
    static final int SEARCHES_AT_MOST = 6;

    /**
     * A load report this young is used without asking again: pace changes several times a second.
     */
    private static final long FRESH_MILLISECONDS = 3;

    /** The age up to which load reports of earlier rounds are compared with new ones. */
    private static final long SEEN_MILLISECONDS = 6;

    /** The age up to which a load report shows room to a request that would be refused else. */
    private static final long LAST_CHANCE_MILLISECONDS = 60;

    /** The age up to which load reports are used when no more probes may be sent. */
    private static final long OLD_SIGHT_MILLISECONDS = 400;

    /** How long a round waits for probes that do not answer, once one was answered. */
    private static final long ROUND_MILLISECONDS = 15;

    /** A round ends with what it has after this time; a silent server is then suspect. */
    private static final long LONGEST_ROUND_MILLISECONDS = 60;

    private static final long FIRST_PAUSE_MILLISECONDS = 2;
    private static final int ROUNDS_TO_LONGEST_PAUSE = 4;
    private static final long LONGEST_PAUSE_MILLISECONDS = 30;

    /** A placement that is expected to lose no more than this is taken without comparing. */
    private static final double NO_LOSS_MILLISECONDS = 5;

    /** The part of the time that a request has left which a placement may cost. */
    private static final double ACCEPTED_PART = 0.25;

    /** The part of its possible wait in which a request takes only servers that lose little. */
    private static final double PATIENCE_PART = 0.25;

    /**
     * The same for servers that are slow now: pace at the start of work holds for all of it, so
     * that the answer would come late.
     */
    private static final double SLOW_PATIENCE_PART = 0.85;

    /** A server of another availability zone is charged this, above its slowness. */
    private static final double CROSS_ZONE_MILLISECONDS = 30;

    /** The candidates of a first round; further rounds ask more. */
    private static final int FIRST_CANDIDATES = 2;

    /** Probes for each request on average: a first round, and a second one for one in three. */
    private static final double PROBES_PER_REQUEST = 3;

    /** Probes that are kept, so that requests whose search is long may use them. */
    private static final double PROBES_KEPT = 60;

    private final ServicePool pool;
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final Locked locked;
    private final CrashWatch crashes;
    private final Probes probes;
    private final TokenBucket probeBudget = new TokenBucket(PROBES_KEPT);
    private int searches;

    SearchDesk(
            ServicePool pool,
            GatewayEnvironment environment,
            GatewayOptions options,
            Locked locked,
            CrashWatch crashes,
            Probes probes) {
        this.pool = pool;
        this.environment = environment;
        this.options = options;
        this.locked = locked;
        this.crashes = crashes;
        this.probes = probes;
    }

    /** Lets a new request pay for its probes, so that no host has to know how many others probe. */
    void countRequest() {
        probeBudget.give(PROBES_PER_REQUEST);
    }

    /** Starts searches for waiting requests that have none. */
    void startFor(WaitingQueue<GatewayRun> queue, Effects effects) {
        while (searches < SEARCHES_AT_MOST) {
            Optional<GatewayRun> next = queue.findFirst(run -> !run.isSearching());
            if (next.isEmpty()) {
                return;
            }
            searches++;
            next.get().setSearching(true);
            look(next.get(), effects);
        }
    }

    private void end(GatewayRun run) {
        searches--;
        run.setSearching(false);
    }

    private void look(GatewayRun run, Effects effects) {
        if (!run.isWaiting()) {
            end(run);
            pool.pump(effects);
            return;
        }
        List<KnownServer> servers = pool.serversFor(run);
        Optional<PlacementChoice.Choice> known =
                choose(run, servers, FRESH_MILLISECONDS).filter(choice -> isGood(choice, run));
        if (known.isPresent() && pool.place(known.get().server(), "fresh_sight", effects)) {
            end(run);
            return;
        }
        List<KnownServer> asked =
                CandidateChoice.choose(servers, candidates(run), now(), environment.random());
        if (asked.isEmpty() || !probeBudget.take(asked.size())) {
            conclude(run, OLD_SIGHT_MILLISECONDS, effects);
            return;
        }
        ask(new Round(run, asked.size()), asked, effects);
    }

    private int candidates(GatewayRun run) {
        return run.rounds() == 0
                ? Math.min(FIRST_CANDIDATES, options.candidates())
                : options.candidates();
    }

    private void ask(Round round, List<KnownServer> asked, Effects effects) {
        for (KnownServer server : asked) {
            server.beginProbe();
            probes.send(server, new Question(round, server), effects);
        }
        effects.add(() -> scheduleEnd(round, ROUND_MILLISECONDS));
        effects.add(() -> scheduleEnd(round, LONGEST_ROUND_MILLISECONDS));
    }

    private void scheduleEnd(Round round, long delay) {
        environment
                .scheduler()
                .schedule(
                        delay,
                        () ->
                                locked.run(
                                        effects -> {
                                            boolean last = delay == LONGEST_ROUND_MILLISECONDS;
                                            if (!round.concluded && (last || round.answers > 0)) {
                                                conclude(round, effects);
                                            }
                                        }));
    }

    private boolean hasGood(Round round, KnownServer server) {
        GatewayRun run = round.run;
        return choose(run, List.of(server), FRESH_MILLISECONDS)
                .filter(choice -> choice.costMilliseconds() <= NO_LOSS_MILLISECONDS)
                .isPresent();
    }

    private void conclude(Round round, Effects effects) {
        round.concluded = true;
        conclude(round.run, SEEN_MILLISECONDS, effects);
    }

    private void conclude(GatewayRun run, long sightLimit, Effects effects) {
        if (!run.isWaiting()) {
            end(run);
            pool.pump(effects);
            return;
        }
        Optional<PlacementChoice.Choice> choice =
                choose(run, pool.serversFor(run), sightLimit)
                        .filter(found -> isAcceptable(found, run));
        if (choice.isPresent() && pool.place(choice.get().server(), "search", effects)) {
            end(run);
            pool.pump(effects);
            return;
        }
        long pause =
                run.rounds() < ROUNDS_TO_LONGEST_PAUSE
                        ? FIRST_PAUSE_MILLISECONDS << run.rounds()
                        : LONGEST_PAUSE_MILLISECONDS;
        run.countRound();
        effects.add(
                () ->
                        environment
                                .scheduler()
                                .schedule(pause, () -> locked.run(held -> look(run, held))));
    }

    /** Chooses among the servers whose load is known well enough. */
    private Optional<PlacementChoice.Choice> choose(
            GatewayRun run, List<KnownServer> servers, long sightLimit) {
        long now = now();
        List<KnownServer> seen =
                servers.stream().filter(server -> server.sightAge(now) <= sightLimit).toList();
        List<KnownServer> usable = seen.isEmpty() ? silent(servers, sightLimit) : seen;
        return pool.placement()
                .choose(usable, pool.typicalMilliseconds(run), CROSS_ZONE_MILLISECONDS);
    }

    /** Servers that never told their load are judged by this host's own requests. */
    private static List<KnownServer> silent(List<KnownServer> servers, long sightLimit) {
        if (sightLimit == FRESH_MILLISECONDS) {
            return List.of();
        }
        return servers.stream().filter(server -> !server.tellsLoad()).toList();
    }

    /** The longer a request has waited, the more it accepts to lose. */
    private boolean isAcceptable(PlacementChoice.Choice choice, GatewayRun run) {
        long now = now();
        long waited = run.waitedMilliseconds(now);
        double patience = choice.isSlow() ? SLOW_PATIENCE_PART : PATIENCE_PART;
        return isGood(choice, run) || waited > patience * (waited + run.latestStart() - now);
    }

    /** Finds a server that had room a moment ago, however slow it is. */
    Optional<KnownServer> roomFor(GatewayRun run) {
        return choose(run, pool.serversFor(run), LAST_CHANCE_MILLISECONDS)
                .map(PlacementChoice.Choice::server);
    }

    /** Tells whether a request may be placed on a server whose load is known from just now. */
    boolean accepts(GatewayRun run, KnownServer server) {
        return choose(run, List.of(server), FRESH_MILLISECONDS)
                .filter(choice -> isAcceptable(choice, run))
                .isPresent();
    }

    private boolean isGood(PlacementChoice.Choice choice, GatewayRun run) {
        return choice.costMilliseconds() <= ACCEPTED_PART * (run.latestStart() - now());
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }

    /** Follows one probe of a round. */
    private final class Question implements Probes.Listener {

        private final Round round;
        private final KnownServer server;

        private Question(Round round, KnownServer server) {
            this.round = round;
            this.server = server;
        }

        @Override
        public void answered(LoadReport report, Effects effects) {
            long now = now();
            round.answers++;
            server.seeAnswer(report, now);
            server.tellHealth(!report.leaving(), now);
            ended(effects);
        }

        @Override
        public void failed(AttemptException failure, Effects effects) {
            long now = now();
            server.see(failure.loadReport(), now);
            server.suspect(now);
            crashes.failed(server, failure.failure(), effects);
            ended(effects);
        }

        private void ended(Effects effects) {
            server.endProbe();
            round.open--;
            if (!round.concluded && (round.open == 0 || hasGood(round, server))) {
                conclude(round, effects);
            }
        }
    }

    /** Follows the probes of one round. */
    private static final class Round {

        private final GatewayRun run;
        private int open;
        private int answers;
        private boolean concluded;

        private Round(GatewayRun run, int open) {
            this.run = run;
            this.open = open;
        }
    }
}
