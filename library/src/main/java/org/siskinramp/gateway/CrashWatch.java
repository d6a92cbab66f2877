package org.siskinramp.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.quarantine.Crash;
import org.siskinramp.quarantine.CrashReporter;
import org.siskinramp.quarantine.Quarantine;
import org.siskinramp.routing.Effects;

/**
 * Finds out which backend servers ended while they ran a request. A broken connection alone proves
 * nothing, since a server that lives may cut one: the server has to be gone afterwards. Answers
 * requests that end each server that runs them, among many that stand beside them by chance. It is
 * guarded by the lock of the gateway.
 */
final class CrashWatch {

    /** The entry of a server that ended lapses after three heartbeats of 1.5 s, and is read. */
    private static final long DOUBT_MILLISECONDS = 10_000;

    /**
     * When a doubted server is probed. A process that ends cuts its connections some milliseconds
     * before its address is free, and is away for seconds; the later probes find its next start.
     */
    private static final long[] PROBES_AFTER_MILLISECONDS = {20, 200, 600, 1_400, 3_000, 6_000};

    /** Breaks this soon after another one of the same server are covered by its probes. */
    private static final long PROBED_MILLISECONDS = 200;

    /** A full server that resets surplus connections has accepted others by then. */
    private static final long UNREACHABLE_MILLISECONDS = 100;

    /** A full server that cuts each new connection has room again by then. */
    private static final long CUTTING_MILLISECONDS = 1_000;

    /** Content that any server ran to its end this long before a crash did not cause it. */
    private static final long INNOCENCE_MILLISECONDS = 10_000;

    private static final int SERVERS_DOUBTED_AT_MOST = 200;
    private static final int DOUBTS_OF_A_SERVER_AT_MOST = 50;

    /** Bounds the memory of completions, about 200 kB. */
    private static final int COMPLETIONS_KEPT = 2_000;

    private final GatewayEnvironment environment;
    private final Locked locked;
    private final Probes probes;
    private final Quarantine quarantine;
    private final CrashReporter reporter;
    private final Map<String, Doubts> doubtsByServer = new LinkedHashMap<>();
    private final Map<String, Long> completions = new LinkedHashMap<>();
    private final Map<String, RouteCrashes> crashesByRoute = new HashMap<>();

    CrashWatch(
            GatewayEnvironment environment,
            Locked locked,
            Probes probes,
            Quarantine quarantine,
            CrashReporter reporter) {
        this.environment = environment;
        this.locked = locked;
        this.probes = probes;
        this.quarantine = quarantine;
        this.reporter = reporter;
    }

    /** Tells whether a request must not be sent since it ends the servers that run it. */
    boolean holdsBack(GatewayRun run) {
        return !run.isTrial() && quarantine.refuses(run.request().contentHash());
    }

    /** Returns when a request that is held back may come again. */
    long heldBackMilliseconds(GatewayRun run) {
        return quarantine.refusedMilliseconds(run.request().contentHash());
    }

    /** Lets a request through that is no longer held back, and no other copy of it. */
    void admit(GatewayRun run) {
        String content = run.request().contentHash();
        if (quarantine.crashes(content) >= Quarantine.CRASHES_TO_REFUSE) {
            quarantine.beginTrial(content);
            run.markAsTrial();
        }
    }

    /**
     * Tells whether a request whose connection broke may end another server. One server that ended
     * under it ends by chance far more often than by it, so that one repeat is worth its risk;
     * unless several have ended under other requests of its route, which differ from each other.
     */
    boolean mayEndAnother(GatewayRun run) {
        String content = run.request().contentHash();
        if (hasCompletedSince(content, now())) {
            return false;
        }
        RouteCrashes ofRoute = crashesByRoute.get(run.route().name());
        return quarantine.crashes(content) + doubts(content) > 1
                || (ofRoute != null && ofRoute.areMany(now()));
    }

    private int doubts(String content) {
        int count = 0;
        for (Doubts doubts : doubtsByServer.values()) {
            for (Doubt doubt : doubts.list) {
                count += doubt.crash.content().equals(content) ? 1 : 0;
            }
        }
        return count;
    }

    /**
     * Notes that the connection broke on which a server had got a request. A server that was full
     * may cut the connections of requests and probes alike, and live.
     */
    void broke(AttemptDesk.Open attempt, Effects effects) {
        boolean full = attempt.occupied() > attempt.server().server().slots();
        doubt(attempt, !full, effects);
    }

    /** Notes that a server that had got a request was silent to the end of the request's time. */
    void wentSilent(AttemptDesk.Open attempt, Effects effects) {
        doubt(attempt, false, effects);
    }

    private void doubt(AttemptDesk.Open attempt, boolean cut, Effects effects) {
        long now = now();
        KnownServer server = attempt.server();
        if (!server.isPresent(now)) {
            return;
        }
        Doubts doubts = doubtsByServer.get(server.server().name());
        boolean probed = doubts != null && now - doubts.begunAt < PROBED_MILLISECONDS;
        if (!probed) {
            doubts = doubts == null ? new Doubts() : doubts;
            doubts.begunAt = now;
            doubtsByServer.put(server.server().name(), doubts);
            dropOldest(doubtsByServer, SERVERS_DOUBTED_AT_MOST);
            for (long delay : PROBES_AFTER_MILLISECONDS) {
                probeAfter(delay, server, effects);
            }
        }
        if (doubts.list.size() < DOUBTS_OF_A_SERVER_AT_MOST) {
            doubts.list.add(new Doubt(crashOf(attempt), now, cut));
        }
    }

    private static Crash crashOf(AttemptDesk.Open attempt) {
        return new Crash(
                attempt.run().request().contentHash(),
                attempt.run().route().name(),
                attempt.server().server().name(),
                attempt.server().entry().bornMilliseconds());
    }

    private void probeAfter(long milliseconds, KnownServer server, Effects effects) {
        effects.add(
                () ->
                        environment
                                .scheduler()
                                .schedule(
                                        milliseconds,
                                        () -> locked.run(held -> probe(server, held))));
    }

    private void probe(KnownServer server, Effects effects) {
        if (!doubtsByServer.containsKey(server.server().name()) || server.isPaused(now())) {
            return;
        }
        probes.send(server, new LifeSigns(server, now()), effects);
    }

    /** A server that answers no probe for a while after it cut a request's connection is gone. */
    private void cutsConnections(String server, Effects effects) {
        Doubts doubts = doubtsByServer.get(server);
        if (doubts == null || doubts.list.stream().noneMatch(Doubt::cut)) {
            return;
        }
        if (doubts.failingSince == Doubts.NEVER) {
            doubts.failingSince = now();
        } else if (now() - doubts.failingSince >= CUTTING_MILLISECONDS) {
            ended(server, "cuts_connections", effects);
        }
    }

    private void lives(KnownServer server, long sinceMilliseconds) {
        Doubts doubts = doubtsByServer.get(server.server().name());
        if (doubts != null) {
            doubts.list.removeIf(doubt -> doubt.brokenAt <= sinceMilliseconds);
            doubts.unreachableAt = Doubts.NEVER;
            doubts.failingSince = Doubts.NEVER;
            if (doubts.list.isEmpty()) {
                doubtsByServer.remove(server.server().name());
            }
        }
    }

    /** Takes the failure of any attempt or probe as a sign of what became of its server. */
    void failed(KnownServer server, AttemptFailure failure, Effects effects) {
        Doubts doubts = doubtsByServer.get(server.server().name());
        if (doubts == null) {
            return;
        }
        if (failure == AttemptFailure.WRONG_SERVER) {
            ended(server.server().name(), "other_server", effects);
        } else if (failure == AttemptFailure.CONNECTION_REFUSED) {
            if (doubts.unreachableAt == Doubts.NEVER) {
                doubts.unreachableAt = now();
            } else if (now() - doubts.unreachableAt >= UNREACHABLE_MILLISECONDS) {
                ended(server.server().name(), "refused", effects);
            }
        }
    }

    /** Notes that a server has ended; the requests under which its connections broke are named. */
    void ended(String server, String proof, Effects effects) {
        Doubts doubts = doubtsByServer.remove(server);
        if (doubts == null) {
            return;
        }
        long now = now();
        List<Crash> proved = new ArrayList<>();
        for (Doubt doubt : doubts.list) {
            boolean innocent = hasCompletedSince(doubt.crash.content(), doubt.brokenAt);
            if (now - doubt.brokenAt <= DOUBT_MILLISECONDS) {
                note(doubt, innocent, proof, now);
                if (!innocent) {
                    proved.add(doubt.crash);
                }
            }
        }
        if (!proved.isEmpty()) {
            Set<String> routes = proved.stream().map(Crash::route).collect(Collectors.toSet());
            routes.forEach(route -> crashesOf(route).add(now));
            quarantine.add(proved);
            effects.add(() -> reporter.report(proved));
        }
    }

    private RouteCrashes crashesOf(String route) {
        return crashesByRoute.computeIfAbsent(route, name -> new RouteCrashes());
    }

    private void note(Doubt doubt, boolean innocent, String proof, long now) {
        environment.counters().add(innocent ? Counter.CRASHES_EXCUSED : Counter.CRASHES);
        environment
                .eventLog()
                .record(
                        LogEvent.named(innocent ? "crash_excused" : "crash")
                                .with("content", doubt.crash.content())
                                .with("route", doubt.crash.route())
                                .with("backend_server", doubt.crash.backendServer())
                                .with("born", doubt.crash.bornMilliseconds())
                                .with("proof", proof)
                                .with("after_ms", now - doubt.brokenAt));
    }

    private boolean hasCompletedSince(String content, long brokenAt) {
        Long completedAt = completions.get(content);
        return completedAt != null && completedAt >= brokenAt - INNOCENCE_MILLISECONDS;
    }

    /**
     * Notes that a server ran a request to its end, which clears it. A failure does not: a server
     * answers 504 for a request whose time ended in its queue.
     */
    void completed(GatewayRun run, Effects effects) {
        String content = run.request().contentHash();
        completions.remove(content);
        completions.put(content, now());
        dropOldest(completions, COMPLETIONS_KEPT);
        acquitIfSuspected(content, effects);
    }

    private void acquitIfSuspected(String content, Effects effects) {
        if (quarantine.crashes(content) > 0) {
            effects.add(() -> reporter.acquit(content));
        }
    }

    /** Clears the requests that this host saw running to their end just before. */
    void review(List<String> contents, Effects effects) {
        for (String content : contents) {
            if (hasCompletedSince(content, now())) {
                acquitIfSuspected(content, effects);
            }
        }
    }

    /** Forgets the doubts that nothing proved in time. */
    void sweep() {
        long now = now();
        doubtsByServer.values().removeIf(doubts -> now - doubts.begunAt > DOUBT_MILLISECONDS);
        crashesByRoute.values().removeIf(crashes -> crashes.isOver(now));
    }

    private static void dropOldest(Map<String, ?> entries, int limit) {
        Iterator<String> oldest = entries.keySet().iterator();
        while (entries.size() > limit) {
            oldest.next();
            oldest.remove();
        }
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }

    /** Takes a probe of a doubted server as a sign of what became of it. */
    private final class LifeSigns implements Probes.Listener {

        private final KnownServer server;
        private final long sentAt;

        private LifeSigns(KnownServer server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }

        @Override
        public void answered(LoadReport report, Effects effects) {
            lives(server, sentAt);
        }

        @Override
        public void failed(AttemptException failure, Effects effects) {
            CrashWatch.this.failed(server, failure.failure(), effects);
            cutsConnections(server.server().name(), effects);
        }
    }

    /** Describes a break; the server was not full if its connection was cut. */
    private record Doubt(Crash crash, long brokenAt, boolean cut) {}

    /** Counts the servers that ended a short while ago under requests of one route. */
    private static final class RouteCrashes {

        private static final int MANY = 3;
        private static final long MEMORY_MILLISECONDS = 10_000;

        private final Deque<Long> times = new ArrayDeque<>();

        private void add(long now) {
            times.addLast(now);
            if (times.size() > MANY) {
                times.removeFirst();
            }
        }

        private boolean areMany(long now) {
            return times.size() >= MANY && now - times.peekFirst() <= MEMORY_MILLISECONDS;
        }

        private boolean isOver(long now) {
            return now - times.peekLast() > MEMORY_MILLISECONDS;
        }
    }

    /** Holds the requests under which the connections of one server broke. */
    private static final class Doubts {

        private static final long NEVER = -1;

        private final List<Doubt> list = new ArrayList<>();
        private long begunAt;
        private long unreachableAt = NEVER;
        private long failingSince = NEVER;
    }
}
