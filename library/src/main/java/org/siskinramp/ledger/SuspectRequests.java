package org.siskinramp.ledger;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.SuspectRequest;
import org.siskinramp.routing.CrashSuspectTracker;
import org.siskinramp.time.Clock;

/**
 * Tracks, by content hash, the requests that were in progress on servers that crashed.
 *
 * <p>After one crash, a request may only run on a server that runs no other request, so that a
 * further crash shows that this request caused it. After two crashes it is quarantined. A completed
 * run clears the request. A crash does not count against content that completed shortly before, so
 * that the failure of a rack does not quarantine a popular read. The host that detects the crash
 * checks this; a confirmed crash that a peer reports is counted without this check.
 */
public final class SuspectRequests implements CrashSuspectTracker {

    private static final int CRASHES_TO_QUARANTINE = 2;

    /** Crashes of a server that are detected within this time count as one. */
    private static final long SAME_CRASH_MILLISECONDS = 1_000;

    /** The same after a peer's report, since this host may detect the crash only later. */
    private static final long SAME_CRASH_REPORTED_BY_PEER_MILLISECONDS = 10_000;

    private final Clock clock;
    private final EventLog eventLog;
    private final SuspicionOptions options;
    private final Consumer<SuspectRequest> broadcast;
    private final SuspectedCrashes suspectedCrashes;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private final Map<String, Long> recentCompletions = new LinkedHashMap<>();
    private volatile boolean nothingTracked = true;

    /**
     * Creates a tracker that suspects no request.
     *
     * @param clock the clock
     * @param eventLog writes a log line for each counted crash and each cleared request
     * @param options time and size limits
     * @param broadcast sends a report to the other entry hosts
     */
    public SuspectRequests(
            Clock clock,
            EventLog eventLog,
            SuspicionOptions options,
            Consumer<SuspectRequest> broadcast) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
        this.options = Objects.requireNonNull(options, "options");
        this.broadcast = Objects.requireNonNull(broadcast, "broadcast");
        this.suspectedCrashes = new SuspectedCrashes(options.maximumRequests());
    }

    @Override
    public boolean mustRunAlone(String contentHash) {
        return confirmedCrashes(contentHash) > 0;
    }

    @Override
    public boolean isQuarantined(String contentHash) {
        return !nothingTracked
                && countConfirmedAndSuspectedCrashes(contentHash) >= CRASHES_TO_QUARANTINE;
    }

    /**
     * Counts the confirmed and the suspected crashes. A suspected crash counts until it is
     * confirmed or expires, so that the request is not sent to further servers meanwhile.
     */
    private synchronized int countConfirmedAndSuspectedCrashes(String contentHash) {
        return countConfirmedCrashes(contentHash)
                + suspectedCrashes.count(contentHash, clock.monotonicMilliseconds());
    }

    @Override
    public void recordBrokenConnection(String contentHash, String backendServer) {
        if (addSuspectedCrash(contentHash, backendServer)) {
            broadcast.accept(new SuspectRequest(contentHash, backendServer, 0));
        }
    }

    private synchronized boolean addSuspectedCrash(String contentHash, String backendServer) {
        long now = clock.monotonicMilliseconds();
        Suspect suspect = suspects.get(contentHash);
        boolean alreadyCounted = suspect != null && suspect.hasCounted(backendServer, now);
        if (alreadyCounted || completedRecently(contentHash, now)) {
            return false;
        }
        suspectedCrashes.add(contentHash, backendServer, now);
        nothingTracked = false;
        return true;
    }

    private int confirmedCrashes(String contentHash) {
        return nothingTracked ? 0 : countConfirmedCrashes(contentHash);
    }

    private synchronized int countConfirmedCrashes(String contentHash) {
        Suspect suspect = suspects.get(contentHash);
        return suspect == null || isExpired(suspect) ? 0 : suspect.confirmedCrashes;
    }

    private boolean isExpired(Suspect suspect) {
        return clock.monotonicMilliseconds() - suspect.lastCrashAt
                >= options.lifetimeMilliseconds();
    }

    @Override
    public void recordCrash(String contentHash, String backendServer) {
        int confirmedCrashes = addConfirmedCrash(contentHash, backendServer);
        if (confirmedCrashes > 0) {
            log(contentHash, backendServer, confirmedCrashes, "own");
            broadcast.accept(new SuspectRequest(contentHash, backendServer, confirmedCrashes));
        }
    }

    private synchronized int addConfirmedCrash(String contentHash, String backendServer) {
        suspectedCrashes.removeConfirmed(contentHash, backendServer);
        long now = clock.monotonicMilliseconds();
        if (completedRecently(contentHash, now)) {
            return 0;
        }
        Suspect suspect = removeOrCreate(contentHash);
        if (suspect.hasCounted(backendServer, now)) {
            put(contentHash, suspect);
            return 0;
        }
        suspect.add(new ConfirmedCrash(backendServer, now, false));
        put(contentHash, suspect);
        return suspect.confirmedCrashes;
    }

    private boolean completedRecently(String contentHash, long now) {
        Long completedAt = recentCompletions.get(contentHash);
        return completedAt != null
                && now - completedAt < options.completionProtectionMilliseconds();
    }

    /**
     * Merges a report of another entry host. It never decreases the crash count of this host.
     *
     * @param host the host that sent the report
     * @param report the report
     */
    public void receive(String host, SuspectRequest report) {
        if (report.crashCount() == 0) {
            addSuspectedCrash(report.contentHash(), report.backendServer());
            return;
        }
        int confirmedCrashes = merge(report);
        if (confirmedCrashes > 0) {
            log(report.contentHash(), report.backendServer(), confirmedCrashes, host);
        }
    }

    private synchronized int merge(SuspectRequest report) {
        suspectedCrashes.removeConfirmed(report.contentHash(), report.backendServer());
        Suspect suspect = removeOrCreate(report.contentHash());
        int countBefore = suspect.confirmedCrashes;
        if (!suspect.hasCrashOf(report.backendServer())) {
            suspect.add(
                    new ConfirmedCrash(
                            report.backendServer(), clock.monotonicMilliseconds(), true));
        }
        if (report.crashCount() > suspect.confirmedCrashes) {
            suspect.confirmedCrashes = report.crashCount();
            suspect.lastCrashAt = clock.monotonicMilliseconds();
        }
        put(report.contentHash(), suspect);
        return suspect.confirmedCrashes > countBefore ? suspect.confirmedCrashes : 0;
    }

    private Suspect removeOrCreate(String contentHash) {
        Suspect suspect = suspects.remove(contentHash);
        return suspect == null || isExpired(suspect) ? new Suspect() : suspect;
    }

    private void put(String contentHash, Suspect suspect) {
        suspects.put(contentHash, suspect);
        dropOldest(suspects);
        nothingTracked = false;
    }

    private void dropOldest(Map<String, ?> entries) {
        Iterator<String> oldest = entries.keySet().iterator();
        while (entries.size() > options.maximumRequests()) {
            oldest.next();
            oldest.remove();
        }
    }

    @Override
    public void recordCompletion(String contentHash) {
        if (clear(contentHash)) {
            eventLog.record(LogEvent.named("request_cleared").with("content_hash", contentHash));
        }
    }

    private synchronized boolean clear(String contentHash) {
        recentCompletions.remove(contentHash);
        recentCompletions.put(contentHash, clock.monotonicMilliseconds());
        dropOldest(recentCompletions);
        boolean cleared = suspects.remove(contentHash) != null;
        suspectedCrashes.clear(contentHash);
        nothingTracked = suspects.isEmpty() && suspectedCrashes.isEmpty();
        return cleared;
    }

    private void log(
            String contentHash, String backendServer, int confirmedCrashes, String reportedBy) {
        eventLog.record(
                LogEvent.named(
                                confirmedCrashes >= CRASHES_TO_QUARANTINE
                                        ? "request_quarantined"
                                        : "request_suspect")
                        .with("content_hash", contentHash)
                        .with("backend_server", backendServer)
                        .with("stops", confirmedCrashes)
                        .with("reported_by", reportedBy));
    }

    private record ConfirmedCrash(String backendServer, long at, boolean reportedByPeer) {

        /** Tells whether a crash that this host detects now may be this one. */
        boolean mayBeSameCrash(String server, long now) {
            long window =
                    reportedByPeer
                            ? SAME_CRASH_REPORTED_BY_PEER_MILLISECONDS
                            : SAME_CRASH_MILLISECONDS;
            return backendServer.equals(server) && now - at < window;
        }
    }

    private static final class Suspect {
        private final List<ConfirmedCrash> recentCrashes = new ArrayList<>();
        private int confirmedCrashes;
        private long lastCrashAt;

        boolean hasCounted(String backendServer, long now) {
            return recentCrashes.stream()
                    .anyMatch(crash -> crash.mayBeSameCrash(backendServer, now));
        }

        boolean hasCrashOf(String backendServer) {
            return recentCrashes.stream()
                    .anyMatch(crash -> crash.backendServer().equals(backendServer));
        }

        void add(ConfirmedCrash crash) {
            recentCrashes.add(crash);
            if (recentCrashes.size() > 2 * CRASHES_TO_QUARANTINE) {
                recentCrashes.remove(0);
            }
            confirmedCrashes++;
            lastCrashAt = crash.at();
        }
    }
}
