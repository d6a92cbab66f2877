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
import org.siskinramp.routing.DeferredActions;

/**
 * Detects backend servers that crashed while they ran a request, to find requests that crash every
 * server that runs them. A broken connection alone is no proof, since a live server may close it:
 * the server must be gone afterwards. A crash is reported for each request that was running on the
 * server, although most of them ran there by chance. Guarded by the lock of the gateway.
 */
final class CrashDetector {

    /**
     * Suspected crashes that are not confirmed within this time are dropped. The entry of a crashed
     * server expires after three missed heartbeats of 1.5 s, and this host must then read the
     * change.
     */
    private static final long CONFIRMATION_TIMEOUT_MILLISECONDS = 10_000;

    /**
     * Delays of the probes after a suspected crash. A process that exits closes its connections
     * some milliseconds before it stops listening, and is down for seconds; the later probes detect
     * its restart.
     */
    private static final long[] PROBE_DELAYS_MILLISECONDS = {20, 200, 600, 1_400, 3_000, 6_000};

    /** A connection that breaks this soon after another one of its server starts no new probes. */
    private static final long PROBE_REUSE_MILLISECONDS = 200;

    /**
     * Connections must be refused for this long to confirm a crash. A full server that resets
     * excess connections accepts others within this time.
     */
    private static final long REFUSED_CONFIRMATION_MILLISECONDS = 100;

    /**
     * Probes must fail for this long to confirm the crash of a server that closes connections. A
     * full server that closes each new connection has free capacity again within this time.
     */
    private static final long CUT_CONFIRMATION_MILLISECONDS = 1_000;

    /**
     * A request is cleared of a crash if the same content completed on any server at most this long
     * before its connection broke, or later.
     */
    private static final long CLEARING_WINDOW_MILLISECONDS = 10_000;

    private static final int MAXIMUM_SUSPECTED_SERVERS = 200;
    private static final int MAXIMUM_SUSPECTED_CRASHES_PER_SERVER = 50;

    /** Limits the memory for completions to about 200 kB. */
    private static final int MAXIMUM_COMPLETIONS = 2_000;

    private final GatewayEnvironment environment;
    private final LockedExecutor lockedExecutor;
    private final ProbeSender probeSender;
    private final Quarantine quarantine;
    private final CrashReporter reporter;
    private final Map<String, SuspectedCrashes> suspectedByServer = new LinkedHashMap<>();
    private final Map<String, Long> completions = new LinkedHashMap<>();
    private final Map<String, RouteCrashes> crashesByRoute = new HashMap<>();

    CrashDetector(
            GatewayEnvironment environment,
            LockedExecutor lockedExecutor,
            ProbeSender probeSender,
            Quarantine quarantine,
            CrashReporter reporter) {
        this.environment = environment;
        this.lockedExecutor = lockedExecutor;
        this.probeSender = probeSender;
        this.quarantine = quarantine;
        this.reporter = reporter;
    }

    /** Tells whether a request is quarantined, so that it must not be sent. */
    boolean isQuarantined(RequestContext context) {
        return !context.isQuarantineTrial() && quarantine.refuses(context.request().contentHash());
    }

    /** Returns for how many milliseconds a request stays quarantined. */
    long quarantineMilliseconds(RequestContext context) {
        return quarantine.remainingRefusalMilliseconds(context.request().contentHash());
    }

    /** Admits a request whose quarantine has expired as a trial, and no other copy of it. */
    void beginTrialIfDue(RequestContext context) {
        String content = context.request().contentHash();
        if (quarantine.crashCount(content) >= Quarantine.CRASHES_TO_REFUSE) {
            quarantine.beginTrial(content);
            context.markQuarantineTrial();
        }
    }

    /**
     * Tells whether a request whose connection broke is likely to crash another server. A single
     * crash is far more often a coincidence than caused by the request, so one retry is worth the
     * risk, unless several servers have recently crashed under requests of the same route: the
     * crashing requests of a route may all differ in content.
     */
    boolean mayCrashAnother(RequestContext context) {
        String content = context.request().contentHash();
        if (hasCompletedSince(content, now())) {
            return false;
        }
        RouteCrashes routeCrashes = crashesByRoute.get(context.route().name());
        return quarantine.crashCount(content) + suspectedCrashes(content) > 1
                || (routeCrashes != null && routeCrashes.isLimitReached(now()));
    }

    private int suspectedCrashes(String content) {
        int count = 0;
        for (SuspectedCrashes suspected : suspectedByServer.values()) {
            for (SuspectedCrash suspectedCrash : suspected.entries) {
                count += suspectedCrash.crash.content().equals(content) ? 1 : 0;
            }
        }
        return count;
    }

    /**
     * Suspects a crash after the connection of a request broke. If the server was full, failing
     * probes confirm the crash only if connections are refused or another server answers, since a
     * live server may close the connections of requests and probes alike.
     */
    void connectionBroken(AttemptDispatcher.InFlightAttempt attempt, DeferredActions deferred) {
        boolean full = attempt.estimatedRequestsInProgress() > attempt.server().server().slots();
        suspectCrash(attempt, !full, deferred);
    }

    /** Suspects a crash after a server sent no answer before the deadline of a request. */
    void timedOut(AttemptDispatcher.InFlightAttempt attempt, DeferredActions deferred) {
        suspectCrash(attempt, false, deferred);
    }

    private void suspectCrash(
            AttemptDispatcher.InFlightAttempt attempt, boolean cut, DeferredActions deferred) {
        long now = now();
        KnownServer server = attempt.server();
        if (!server.isInRotation(now)) {
            return;
        }
        SuspectedCrashes suspected = suspectedByServer.get(server.server().name());
        boolean probesRunning =
                suspected != null && now - suspected.probingSince < PROBE_REUSE_MILLISECONDS;
        if (!probesRunning) {
            suspected = suspected == null ? new SuspectedCrashes() : suspected;
            suspected.probingSince = now;
            suspectedByServer.put(server.server().name(), suspected);
            dropOldest(suspectedByServer, MAXIMUM_SUSPECTED_SERVERS);
            for (long delayMilliseconds : PROBE_DELAYS_MILLISECONDS) {
                scheduleProbe(delayMilliseconds, server, deferred);
            }
        }
        if (suspected.entries.size() < MAXIMUM_SUSPECTED_CRASHES_PER_SERVER) {
            suspected.entries.add(new SuspectedCrash(crashOf(attempt), now, cut));
        }
    }

    private static Crash crashOf(AttemptDispatcher.InFlightAttempt attempt) {
        return new Crash(
                attempt.context().request().contentHash(),
                attempt.context().route().name(),
                attempt.server().server().name(),
                attempt.server().entry().startedMilliseconds());
    }

    private void scheduleProbe(
            long delayMilliseconds, KnownServer server, DeferredActions deferred) {
        deferred.add(
                () ->
                        environment
                                .scheduler()
                                .schedule(
                                        delayMilliseconds,
                                        () ->
                                                lockedExecutor.run(
                                                        innerDeferred ->
                                                                probe(server, innerDeferred))));
    }

    private void probe(KnownServer server, DeferredActions deferred) {
        if (!suspectedByServer.containsKey(server.server().name()) || server.isPaused(now())) {
            return;
        }
        probeSender.send(server, new LivenessProbe(server, now()), deferred);
    }

    /** Confirms the crash of a server that closed a connection and has answered no probe since. */
    private void checkCutConnections(String server, DeferredActions deferred) {
        SuspectedCrashes suspected = suspectedByServer.get(server);
        if (suspected == null || suspected.entries.stream().noneMatch(SuspectedCrash::cut)) {
            return;
        }
        if (suspected.failingSince == SuspectedCrashes.NEVER) {
            suspected.failingSince = now();
        } else if (now() - suspected.failingSince >= CUT_CONFIRMATION_MILLISECONDS) {
            confirmCrash(server, "cuts_connections", deferred);
        }
    }

    private void confirmAlive(KnownServer server, long probeSentAt) {
        SuspectedCrashes suspected = suspectedByServer.get(server.server().name());
        if (suspected != null) {
            suspected.entries.removeIf(suspectedCrash -> suspectedCrash.brokenAt <= probeSentAt);
            suspected.refusedSince = SuspectedCrashes.NEVER;
            suspected.failingSince = SuspectedCrashes.NEVER;
            if (suspected.entries.isEmpty()) {
                suspectedByServer.remove(server.server().name());
            }
        }
    }

    /** Checks whether the failure of an attempt or probe confirms a suspected crash. */
    void recordFailure(KnownServer server, AttemptFailure failure, DeferredActions deferred) {
        SuspectedCrashes suspected = suspectedByServer.get(server.server().name());
        if (suspected == null) {
            return;
        }
        if (failure == AttemptFailure.WRONG_SERVER) {
            confirmCrash(server.server().name(), "other_server", deferred);
        } else if (failure == AttemptFailure.CONNECTION_REFUSED) {
            if (suspected.refusedSince == SuspectedCrashes.NEVER) {
                suspected.refusedSince = now();
            } else if (now() - suspected.refusedSince >= REFUSED_CONFIRMATION_MILLISECONDS) {
                confirmCrash(server.server().name(), "refused", deferred);
            }
        }
    }

    /** Confirms the suspected crashes of a server and reports their requests, if not cleared. */
    void confirmCrash(String server, String proof, DeferredActions deferred) {
        SuspectedCrashes suspected = suspectedByServer.remove(server);
        if (suspected == null) {
            return;
        }
        long now = now();
        List<Crash> confirmed = new ArrayList<>();
        for (SuspectedCrash suspectedCrash : suspected.entries) {
            boolean cleared =
                    hasCompletedSince(suspectedCrash.crash.content(), suspectedCrash.brokenAt);
            if (now - suspectedCrash.brokenAt <= CONFIRMATION_TIMEOUT_MILLISECONDS) {
                logCrash(suspectedCrash, cleared, proof, now);
                if (!cleared) {
                    confirmed.add(suspectedCrash.crash);
                }
            }
        }
        if (!confirmed.isEmpty()) {
            Set<String> routes = confirmed.stream().map(Crash::route).collect(Collectors.toSet());
            routes.forEach(route -> crashesOf(route).add(now));
            quarantine.add(confirmed);
            deferred.add(() -> reporter.report(confirmed));
        }
    }

    private RouteCrashes crashesOf(String route) {
        return crashesByRoute.computeIfAbsent(route, name -> new RouteCrashes());
    }

    private void logCrash(SuspectedCrash suspectedCrash, boolean cleared, String proof, long now) {
        environment.counters().add(cleared ? Counter.CRASHES_EXCUSED : Counter.CRASHES);
        environment
                .eventLog()
                .record(
                        LogEvent.named(cleared ? "crash_excused" : "crash")
                                .with("content", suspectedCrash.crash.content())
                                .with("route", suspectedCrash.crash.route())
                                .with("backend_server", suspectedCrash.crash.backendServer())
                                .with("born", suspectedCrash.crash.startedMilliseconds())
                                .with("proof", proof)
                                .with("after_ms", now - suspectedCrash.brokenAt));
    }

    private boolean hasCompletedSince(String content, long brokenAt) {
        Long completedAt = completions.get(content);
        return completedAt != null && completedAt >= brokenAt - CLEARING_WINDOW_MILLISECONDS;
    }

    /**
     * Records that a server completed a request, which clears its content. Error answers do not
     * count: a server answers 504 for a request that reached its deadline in the server's queue.
     */
    void requestCompleted(RequestContext context, DeferredActions deferred) {
        String content = context.request().contentHash();
        completions.remove(content);
        completions.put(content, now());
        dropOldest(completions, MAXIMUM_COMPLETIONS);
        clearIfSuspected(content, deferred);
    }

    private void clearIfSuspected(String content, DeferredActions deferred) {
        if (quarantine.crashCount(content) > 0) {
            deferred.add(() -> reporter.clearRequest(content));
        }
    }

    /** Clears those of the given contents that completed recently on this host's attempts. */
    void clearRecentlyCompleted(List<String> contents, DeferredActions deferred) {
        for (String content : contents) {
            if (hasCompletedSince(content, now())) {
                clearIfSuspected(content, deferred);
            }
        }
    }

    /** Drops suspected crashes that were not confirmed in time. */
    void dropExpired() {
        long now = now();
        suspectedByServer
                .values()
                .removeIf(
                        suspected ->
                                now - suspected.probingSince > CONFIRMATION_TIMEOUT_MILLISECONDS);
        crashesByRoute.values().removeIf(crashes -> crashes.isExpired(now));
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

    /** Checks by a probe whether a server with suspected crashes is alive. */
    private final class LivenessProbe implements ProbeSender.Listener {

        private final KnownServer server;
        private final long sentAt;

        private LivenessProbe(KnownServer server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }

        @Override
        public void answered(LoadReport report, DeferredActions deferred) {
            confirmAlive(server, sentAt);
        }

        @Override
        public void failed(AttemptException failure, DeferredActions deferred) {
            CrashDetector.this.recordFailure(server, failure.failure(), deferred);
            checkCutConnections(server.server().name(), deferred);
        }
    }

    /**
     * A suspected crash; {@code cut} means that a server that was not full closed the connection.
     */
    private record SuspectedCrash(Crash crash, long brokenAt, boolean cut) {}

    /** Counts the recent crashes under requests of one route. */
    private static final class RouteCrashes {

        private static final int CRASH_LIMIT = 3;
        private static final long WINDOW_MILLISECONDS = 10_000;

        private final Deque<Long> times = new ArrayDeque<>();

        private void add(long now) {
            times.addLast(now);
            if (times.size() > CRASH_LIMIT) {
                times.removeFirst();
            }
        }

        private boolean isLimitReached(long now) {
            return times.size() >= CRASH_LIMIT && now - times.peekFirst() <= WINDOW_MILLISECONDS;
        }

        private boolean isExpired(long now) {
            return now - times.peekLast() > WINDOW_MILLISECONDS;
        }
    }

    /** The suspected crashes of one server. */
    private static final class SuspectedCrashes {

        private static final long NEVER = -1;

        private final List<SuspectedCrash> entries = new ArrayList<>();
        private long probingSince;
        private long refusedSince = NEVER;
        private long failingSince = NEVER;
    }
}
