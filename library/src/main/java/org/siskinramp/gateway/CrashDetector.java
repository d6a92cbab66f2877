package org.siskinramp.gateway;

import java.util.ArrayList;
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

    /**
     * A request is cleared of a crash if the same content completed on any server at most this long
     * before its connection broke, or later.
     */
    private static final long CLEARING_WINDOW_MILLISECONDS = 10_000;

    private static final int MAXIMUM_SUSPECTED_SERVERS = 200;

    /** Limits the memory for completions to about 200 kB. */
    private static final int MAXIMUM_COMPLETIONS = 2_000;

    private final GatewayEnvironment environment;
    private final LockedExecutor lockedExecutor;
    private final ProbeSender probeSender;
    private final Quarantine quarantine;
    private final CrashReporter reporter;
    private final FullServerDetector fullServerDetector;
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
        fullServerDetector = new FullServerDetector(environment);
    }

    /** Returns the limit that keeps the servers of a service from resetting connections. */
    ResetLimit resetLimit(String service) {
        return fullServerDetector.limit(service);
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
        return suspectedByServer.values().stream()
                .mapToInt(crashes -> crashes.count(content))
                .sum();
    }

    /**
     * Suspects a crash after the connection of a request broke. If the server was full, failing
     * probes confirm the crash only if connections are refused or another server answers, since a
     * live server may close the connections of requests and probes alike.
     */
    void connectionBroken(
            AttemptDispatcher.InFlightAttempt attempt,
            AttemptFailure failure,
            DeferredActions deferred) {
        SuspectedCrash.Symptom symptom = SuspectedCrash.Symptom.CUT;
        if (fullServerDetector.isLikelyFull(attempt)) {
            symptom = SuspectedCrash.Symptom.CUT_WHEN_FULL;
        } else if (failure == AttemptFailure.ANSWER_INCOMPLETE) {
            symptom = SuspectedCrash.Symptom.ANSWER_CUT;
        }
        suspectCrash(attempt, symptom, deferred);
    }

    /** Suspects a crash after a server sent no answer before the deadline of a request. */
    void timedOut(AttemptDispatcher.InFlightAttempt attempt, DeferredActions deferred) {
        suspectCrash(attempt, SuspectedCrash.Symptom.TIMED_OUT, deferred);
    }

    private void suspectCrash(
            AttemptDispatcher.InFlightAttempt attempt,
            SuspectedCrash.Symptom symptom,
            DeferredActions deferred) {
        long now = now();
        KnownServer server = attempt.server();
        if (!server.isInRotation(now)) {
            return;
        }
        SuspectedCrashes suspected =
                suspectedByServer.computeIfAbsent(
                        server.server().name(), name -> new SuspectedCrashes());
        if (suspected.startProbesIfNeeded(now)) {
            dropOldest(suspectedByServer, MAXIMUM_SUSPECTED_SERVERS);
            for (long delayMilliseconds : PROBE_DELAYS_MILLISECONDS) {
                scheduleProbe(delayMilliseconds, server, deferred);
            }
        }
        suspected.add(
                new SuspectedCrash(
                        crashOf(attempt),
                        attempt.context().request().key().requestId(),
                        attempt.sentAt(),
                        now,
                        attempt.estimatedRequestsInProgress(),
                        symptom));
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
        if (suspected != null && suspected.confirmByFailedProbe(now())) {
            confirmCrash(server, "cuts_connections", deferred);
        }
    }

    private void confirmAlive(KnownServer server, long probeSentAt, LoadReport report) {
        SuspectedCrashes suspected = suspectedByServer.get(server.server().name());
        if (suspected != null) {
            fullServerDetector.judgeResets(server, suspected.endBefore(probeSentAt), report);
            if (suspected.entries().isEmpty()) {
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
        } else if (failure == AttemptFailure.CONNECTION_REFUSED
                && suspected.confirmByRefusal(now())) {
            confirmCrash(server.server().name(), "refused", deferred);
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
        for (SuspectedCrash suspectedCrash : suspected.entries()) {
            boolean cleared =
                    hasCompletedSince(suspectedCrash.crash().content(), suspectedCrash.brokenAt());
            if (now - suspectedCrash.brokenAt() <= CONFIRMATION_TIMEOUT_MILLISECONDS) {
                logCrash(suspectedCrash, cleared, proof, now);
                if (!cleared) {
                    confirmed.add(suspectedCrash.crash());
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
                                .with("content", suspectedCrash.crash().content())
                                .with("route", suspectedCrash.crash().route())
                                .with("backend_server", suspectedCrash.crash().backendServer())
                                .with("born", suspectedCrash.crash().startedMilliseconds())
                                .with("proof", proof)
                                .with("after_ms", now - suspectedCrash.brokenAt()));
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

    /** Drops suspected crashes that were not confirmed in time, and raises reset limits. */
    void dropExpired() {
        long now = now();
        fullServerDetector.raiseLimits();
        suspectedByServer
                .values()
                .removeIf(
                        suspected ->
                                suspected.probingMilliseconds(now)
                                        > CONFIRMATION_TIMEOUT_MILLISECONDS);
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
            confirmAlive(server, sentAt, report);
        }

        @Override
        public void failed(AttemptException failure, DeferredActions deferred) {
            CrashDetector.this.recordFailure(server, failure.failure(), deferred);
            checkCutConnections(server.server().name(), deferred);
        }
    }
}
