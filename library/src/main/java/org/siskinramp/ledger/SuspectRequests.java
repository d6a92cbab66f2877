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
 * Remembers, by content hash, the requests that were in progress on servers that stopped.
 *
 * <p>After one stop a request may only run alone on a server, so that another stop proves its
 * guilt; after two it is quarantined. A run that ends clears it. Content that ran to its end just
 * before a stop is not suspected at all: a rack that fails must not quarantine a popular read.
 */
public final class SuspectRequests implements CrashSuspectTracker {

    private static final int STOPS_TO_QUARANTINE = 2;
    private static final long SAME_STOP_MILLISECONDS = 1_000;
    private static final long SAME_TOLD_STOP_MILLISECONDS = 10_000;

    private final Clock clock;
    private final EventLog eventLog;
    private final SuspicionOptions options;
    private final Consumer<SuspectRequest> peers;
    private final Doubts doubts;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private final Map<String, Long> recentEnds = new LinkedHashMap<>();
    private volatile boolean empty = true;

    /**
     * Suspects nothing yet.
     *
     * @param clock tells when a suspicion expires
     * @param eventLog receives an event for each suspicion and its end
     * @param options times and sizes
     * @param peers tells the other entry hosts
     */
    public SuspectRequests(
            Clock clock,
            EventLog eventLog,
            SuspicionOptions options,
            Consumer<SuspectRequest> peers) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
        this.options = Objects.requireNonNull(options, "options");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.doubts = new Doubts(options.limit());
    }

    @Override
    public boolean mustRunAlone(String contentHash) {
        return stops(contentHash) > 0;
    }

    @Override
    public boolean isQuarantined(String contentHash) {
        return !empty && countStopsAndDoubts(contentHash) >= STOPS_TO_QUARANTINE;
    }

    /** A second server that may have stopped holds the request back until it is known. */
    private synchronized int countStopsAndDoubts(String contentHash) {
        return countStops(contentHash) + doubts.count(contentHash, clock.monotonicMilliseconds());
    }

    @Override
    public void recordBrokenConnection(String contentHash, String backendServer) {
        if (addDoubt(contentHash, backendServer)) {
            peers.accept(new SuspectRequest(contentHash, backendServer, 0));
        }
    }

    private synchronized boolean addDoubt(String contentHash, String backendServer) {
        long now = clock.monotonicMilliseconds();
        Suspect suspect = suspects.get(contentHash);
        boolean known = suspect != null && suspect.hasSeen(backendServer, now);
        if (known || ranToEndRecently(contentHash, now)) {
            return false;
        }
        doubts.add(contentHash, backendServer, now);
        empty = false;
        return true;
    }

    private int stops(String contentHash) {
        return empty ? 0 : countStops(contentHash);
    }

    private synchronized int countStops(String contentHash) {
        Suspect suspect = suspects.get(contentHash);
        return suspect == null || isExpired(suspect) ? 0 : suspect.stops;
    }

    private boolean isExpired(Suspect suspect) {
        return clock.monotonicMilliseconds() - suspect.lastStopAt >= options.lifetimeMilliseconds();
    }

    @Override
    public void recordCrash(String contentHash, String backendServer) {
        int stops = addStop(contentHash, backendServer);
        if (stops > 0) {
            log(contentHash, backendServer, stops, "own");
            peers.accept(new SuspectRequest(contentHash, backendServer, stops));
        }
    }

    private synchronized int addStop(String contentHash, String backendServer) {
        doubts.resolve(contentHash, backendServer);
        long now = clock.monotonicMilliseconds();
        if (ranToEndRecently(contentHash, now)) {
            return 0;
        }
        Suspect suspect = takeOrCreate(contentHash);
        if (suspect.hasSeen(backendServer, now)) {
            put(contentHash, suspect);
            return 0;
        }
        suspect.add(new Stop(backendServer, now, false));
        put(contentHash, suspect);
        return suspect.stops;
    }

    private boolean ranToEndRecently(String contentHash, long now) {
        Long endedAt = recentEnds.get(contentHash);
        return endedAt != null && now - endedAt < options.recentEndMilliseconds();
    }

    /**
     * Merges what another entry host knows. Its word never lowers what this host knows.
     *
     * @param host the sending host
     * @param word the word
     */
    public void receive(String host, SuspectRequest word) {
        if (word.crashCount() == 0) {
            addDoubt(word.contentHash(), word.backendServer());
            return;
        }
        int stops = merge(word);
        if (stops > 0) {
            log(word.contentHash(), word.backendServer(), stops, host);
        }
    }

    private synchronized int merge(SuspectRequest word) {
        doubts.resolve(word.contentHash(), word.backendServer());
        Suspect suspect = takeOrCreate(word.contentHash());
        int before = suspect.stops;
        if (!suspect.names(word.backendServer())) {
            suspect.add(new Stop(word.backendServer(), clock.monotonicMilliseconds(), true));
        }
        if (word.crashCount() > suspect.stops) {
            suspect.stops = word.crashCount();
            suspect.lastStopAt = clock.monotonicMilliseconds();
        }
        put(word.contentHash(), suspect);
        return suspect.stops > before ? suspect.stops : 0;
    }

    private Suspect takeOrCreate(String contentHash) {
        Suspect suspect = suspects.remove(contentHash);
        return suspect == null || isExpired(suspect) ? new Suspect() : suspect;
    }

    private void put(String contentHash, Suspect suspect) {
        suspects.put(contentHash, suspect);
        dropOldest(suspects);
        empty = false;
    }

    private void dropOldest(Map<String, ?> entries) {
        Iterator<String> oldest = entries.keySet().iterator();
        while (entries.size() > options.limit()) {
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
        recentEnds.remove(contentHash);
        recentEnds.put(contentHash, clock.monotonicMilliseconds());
        dropOldest(recentEnds);
        boolean cleared = suspects.remove(contentHash) != null;
        doubts.clear(contentHash);
        empty = suspects.isEmpty() && doubts.isEmpty();
        return cleared;
    }

    private void log(String contentHash, String backendServer, int stops, String reportedBy) {
        eventLog.record(
                LogEvent.named(
                                stops >= STOPS_TO_QUARANTINE
                                        ? "request_quarantined"
                                        : "request_suspect")
                        .with("content_hash", contentHash)
                        .with("backend_server", backendServer)
                        .with("stops", stops)
                        .with("reported_by", reportedBy));
    }

    private record Stop(String backendServer, long at, boolean told) {

        /** Tells whether a stop that this host sees now may be this one, reported again. */
        boolean mayBe(String server, long now) {
            long window = told ? SAME_TOLD_STOP_MILLISECONDS : SAME_STOP_MILLISECONDS;
            return backendServer.equals(server) && now - at < window;
        }
    }

    private static final class Suspect {
        private final List<Stop> recent = new ArrayList<>();
        private int stops;
        private long lastStopAt;

        boolean hasSeen(String backendServer, long now) {
            return recent.stream().anyMatch(stop -> stop.mayBe(backendServer, now));
        }

        boolean names(String backendServer) {
            return recent.stream().anyMatch(stop -> stop.backendServer().equals(backendServer));
        }

        void add(Stop stop) {
            recent.add(stop);
            if (recent.size() > 2 * STOPS_TO_QUARANTINE) {
                recent.remove(0);
            }
            stops++;
            lastStopAt = stop.at();
        }
    }
}
