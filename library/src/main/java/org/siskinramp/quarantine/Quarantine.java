package org.siskinramp.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import org.siskinramp.follow.Changes;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

/**
 * Keeps the requests during which backend servers crashed, and refuses a request that crashed three
 * servers. Otherwise a request that crashes every server that runs it, and that callers retry at
 * any host, would take down a whole service.
 *
 * <p>A crash is identified by the request and by the server process, so reports may arrive twice,
 * late and in any order. A read of the crashes table replaces what was read of it before. Crashes
 * that this host or another one reported are kept until the table has had time to show them. After
 * the refusal period one copy of the request may run as a trial; each further crash doubles the
 * period. Thread-safe; its lock is taken after all other locks.
 */
public final class Quarantine {

    /**
     * The number of crashed servers from which a request is refused. The limit that operators set
     * counts the copies of a request that arrive after the third crash.
     */
    public static final int CRASHES_TO_REFUSE = 3;

    /** How long a request that crashed fewer than three servers is kept after its last crash. */
    private static final long RETENTION_MILLISECONDS = 600_000;

    /** How long a request that crashed three servers or more is kept: one day. */
    private static final long REFUSED_RETENTION_MILLISECONDS =
            24 * CrashHistory.INITIAL_REFUSAL_MILLISECONDS;

    /**
     * The time within which a reported crash is written to the table and read back, unless the
     * store is unavailable.
     */
    private static final long TABLE_CONFIRMATION_MILLISECONDS = 8_000;

    /**
     * How long the crashes of a cleared request are ignored. Reports and rows that were in transit
     * when it was cleared arrive within this time.
     */
    private static final long CLEARANCE_RETENTION_MILLISECONDS = 60_000;

    private static final int MAXIMUM_CONTENTS = 1_000;

    private final Clock clock;
    private final EventLog eventLog;
    private final Map<String, CrashHistory> crashHistories = new LinkedHashMap<>();
    private final Map<String, Long> clearedCrashKeys = new LinkedHashMap<>();
    private final Map<String, Long> clearedContents = new LinkedHashMap<>();
    private final Map<String, QuarantinedContent> unannounced = new LinkedHashMap<>();
    private final List<String> obsoleteRowKeys = new ArrayList<>();
    private volatile boolean empty = true;

    /**
     * Creates a quarantine that refuses nothing.
     *
     * @param clock tells the time
     * @param eventLog receives an event when the refusal of a request begins or ends
     */
    public Quarantine(Clock clock, EventLog eventLog) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
    }

    /**
     * Tells whether a request is refused.
     *
     * @param content its fingerprint
     * @return true if it crashed three servers or more and its refusal period lasts
     */
    public boolean refuses(String content) {
        return remainingRefusalMilliseconds(content) > 0;
    }

    /**
     * Returns the rest of the refusal period of a request.
     *
     * @param content its fingerprint
     * @return milliseconds, 0 if it is not refused
     */
    public long remainingRefusalMilliseconds(String content) {
        if (empty) {
            return 0;
        }
        synchronized (this) {
            CrashHistory history = crashHistories.get(content);
            return history == null ? 0 : history.remainingRefusalMilliseconds(now());
        }
    }

    /**
     * Returns how many server processes crashed while they ran a request.
     *
     * @param content its fingerprint
     * @return the number of known crashes
     */
    public int crashCount(String content) {
        if (empty) {
            return 0;
        }
        synchronized (this) {
            CrashHistory history = crashHistories.get(content);
            return history == null ? 0 : history.crashCount();
        }
    }

    /**
     * Begins a trial of a request whose refusal period is over: the calling host runs one copy, and
     * the refusal period starts again for all other copies.
     *
     * @param content its fingerprint
     */
    public synchronized void beginTrial(String content) {
        CrashHistory history = crashHistories.get(content);
        if (history != null) {
            history.setChangedAt(now());
            eventLog.record(
                    LogEvent.named("quarantine_trial")
                            .with("content", content)
                            .with("crashes", history.crashCount()));
        }
    }

    /**
     * Adds crashes that this host confirmed or that another host reported.
     *
     * @param crashes the crashes
     */
    public synchronized void add(Collection<Crash> crashes) {
        crashes.forEach(crash -> add(crash.key(), crash, false));
    }

    private void add(String key, Crash crash, boolean readFromTable) {
        if (isCleared(clearedCrashKeys, key)) {
            return;
        }
        CrashHistory history =
                crashHistories.computeIfAbsent(crash.content(), content -> new CrashHistory());
        int before = history.crashCount();
        history.add(key, crash, readFromTable, now());
        onCrashCountChange(crash.content(), history, before);
    }

    private void onCrashCountChange(String content, CrashHistory history, int before) {
        if (history.crashCount() <= before) {
            return;
        }
        history.setChangedAt(now());
        crashHistories.remove(content);
        crashHistories.put(content, history);
        empty = false;
        if (history.crashCount() >= CRASHES_TO_REFUSE) {
            if (before < CRASHES_TO_REFUSE) {
                log("quarantined", content, history, "crashes");
            }
            unannounced.put(content, history.toQuarantinedContent(content));
        }
        dropOldest();
    }

    private void dropOldest() {
        while (crashHistories.size() > MAXIMUM_CONTENTS) {
            Map.Entry<String, CrashHistory> oldest = crashHistories.entrySet().iterator().next();
            removeWithRows(oldest.getKey(), oldest.getValue(), "too_many");
        }
    }

    private void removeWithRows(String content, CrashHistory history, String reason) {
        history.crashesByKey()
                .forEach(
                        (key, known) -> {
                            if (known.readFromTable()) {
                                obsoleteRowKeys.add(key);
                            }
                        });
        remove(content, reason);
    }

    private void remove(String content, String reason) {
        CrashHistory history = crashHistories.remove(content);
        unannounced.remove(content);
        empty = crashHistories.isEmpty();
        if (history != null && history.hasReachedLimit()) {
            log("quarantine_ended", content, history, reason);
        }
    }

    private void log(String event, String content, CrashHistory history, String reason) {
        eventLog.record(
                LogEvent.named(event)
                        .with("content", content)
                        .with("route", history.route())
                        .with("crashes", history.crashCount())
                        .with("backend_servers", history.serverNames())
                        .with("reason", reason));
    }

    /**
     * Applies a read of the crashes table.
     *
     * @param changes the changed rows, or all rows
     */
    public synchronized void applyTableChanges(Changes<CrashRowChange> changes) {
        if (changes.isRestored()) {
            markUnconfirmed();
            addClearedRows(changes);
        }
        Set<String> keys = new HashSet<>();
        for (CrashRowChange change : changes.items()) {
            keys.add(change.key());
            change.crash()
                    .ifPresentOrElse(
                            crash -> add(change.key(), crash, true),
                            () -> releaseCrashes((key, known) -> key.equals(change.key())));
        }
        if (changes.isSnapshot() && !changes.isRestored()) {
            releaseCrashes((key, known) -> known.readFromTable() && !keys.contains(key));
            dropPeerReportsExcept(Set.of());
        }
        dropCrashesMissingFromTable();
    }

    /**
     * Rows that were removed when their request was cleared are back, and must be removed again.
     */
    private void addClearedRows(Changes<CrashRowChange> restored) {
        restored.items().stream()
                .map(CrashRowChange::key)
                .filter(key -> isCleared(clearedCrashKeys, key))
                .forEach(obsoleteRowKeys::add);
    }

    /** Treats all known crashes as not yet written, since the store may have lost their rows. */
    private void markUnconfirmed() {
        crashHistories.values().forEach(history -> history.markUnconfirmed(now()));
    }

    /**
     * Applies the update of another host that reads the crashes table.
     *
     * @param contents requests that are quarantined on the other host
     * @param isSnapshot whether earlier reports of requests that are missing here no longer hold
     */
    public synchronized void applyPeerReport(
            List<QuarantinedContent> contents, boolean isSnapshot) {
        Set<String> reported = new HashSet<>();
        for (QuarantinedContent each : contents) {
            reported.add(each.content());
            if (each.crashes() >= CRASHES_TO_REFUSE
                    && !isCleared(clearedContents, each.content())) {
                CrashHistory history =
                        crashHistories.computeIfAbsent(each.content(), key -> new CrashHistory());
                int before = history.crashCount();
                history.setPeerReport(each.crashes(), each.route());
                onCrashCountChange(each.content(), history, before);
            }
        }
        if (isSnapshot) {
            dropPeerReportsExcept(reported);
            dropCrashesMissingFromTable();
        }
    }

    private void dropPeerReportsExcept(Set<String> reported) {
        updateEach(
                (content, history) -> {
                    if (!reported.contains(content)) {
                        history.clearPeerReport();
                    }
                });
    }

    /** Drops reported crashes that the table still lacks after the confirmation time. */
    private void dropCrashesMissingFromTable() {
        long oldest = now() - TABLE_CONFIRMATION_MILLISECONDS;
        updateEach(
                (content, history) ->
                        history.removeCrashesIf(
                                (key, known) ->
                                        !known.readFromTable() && known.addedAt() < oldest));
    }

    /**
     * Drops crashes, and the crash counts of other hosts for the same requests, since those counts
     * include rows that are no longer in the table.
     */
    private void releaseCrashes(BiPredicate<String, CrashHistory.KnownCrash> condition) {
        updateEach(
                (content, history) -> {
                    if (history.removeCrashesIf(condition)) {
                        history.clearPeerReport();
                    }
                });
    }

    /** Applies a change to each crash history, and removes the requests without crashes. */
    private void updateEach(BiConsumer<String, CrashHistory> change) {
        for (Map.Entry<String, CrashHistory> entry : List.copyOf(crashHistories.entrySet())) {
            CrashHistory history = entry.getValue();
            boolean hadReachedLimit = history.hasReachedLimit();
            change.accept(entry.getKey(), history);
            if (hadReachedLimit && !history.hasReachedLimit()) {
                log("quarantine_ended", entry.getKey(), history, "released");
            }
            if (history.crashCount() == 0) {
                remove(entry.getKey(), "released");
            }
        }
    }

    /**
     * Clears a request, since a server ran it to completion: its crashes no longer count.
     *
     * @param content its fingerprint
     * @return the keys of its crashes
     */
    public synchronized List<String> clearRequest(String content) {
        CrashHistory history = crashHistories.get(content);
        if (history == null) {
            return List.of();
        }
        List<String> keys = List.copyOf(history.crashesByKey().keySet());
        keys.forEach(key -> clearedCrashKeys.put(key, now()));
        clearedContents.put(content, now());
        remove(content, "acquitted");
        return keys;
    }

    private boolean isCleared(Map<String, Long> clearedAt, String key) {
        Long at = clearedAt.get(key);
        return at != null && now() - at < CLEARANCE_RETENTION_MILLISECONDS;
    }

    /**
     * Returns the quarantined requests.
     *
     * @return the requests that crashed three servers or more, including those whose refusal period
     *     is over and that wait for a trial
     */
    public synchronized List<QuarantinedContent> quarantinedRequests() {
        List<QuarantinedContent> refused = new ArrayList<>();
        crashHistories.forEach(
                (content, history) -> {
                    if (history.crashCount() >= CRASHES_TO_REFUSE) {
                        refused.add(history.toQuarantinedContent(content));
                    }
                });
        return refused;
    }

    /**
     * Removes and returns the quarantined requests whose crash count has risen since the last call,
     * so that it was not announced to other hosts yet.
     *
     * @return the requests
     */
    public synchronized List<QuarantinedContent> takeUnannounced() {
        List<QuarantinedContent> taken = List.copyOf(unannounced.values());
        unannounced.clear();
        return taken;
    }

    /**
     * Returns the crashes that were added some time ago and have not been read from the table.
     *
     * @param milliseconds the minimum time since they were added
     * @return the crashes
     */
    public synchronized List<Crash> crashesMissingFromTable(long milliseconds) {
        List<Crash> missing = new ArrayList<>();
        for (CrashHistory history : crashHistories.values()) {
            for (CrashHistory.KnownCrash known : history.crashesByKey().values()) {
                if (!known.readFromTable() && now() - known.addedAt() >= milliseconds) {
                    missing.add(known.crash());
                }
            }
        }
        return missing;
    }

    /**
     * Removes the requests and clearances whose retention time is over.
     *
     * @return the keys of the rows that can be deleted from the crashes table
     */
    public synchronized List<String> removeExpired() {
        long now = now();
        for (Map.Entry<String, CrashHistory> entry : List.copyOf(crashHistories.entrySet())) {
            CrashHistory history = entry.getValue();
            long retention =
                    history.hasReachedLimit()
                            ? REFUSED_RETENTION_MILLISECONDS
                            : RETENTION_MILLISECONDS;
            if (now - history.changedAt() > retention) {
                removeWithRows(entry.getKey(), history, "old");
            }
        }
        removeExpiredClearances(clearedCrashKeys, now);
        removeExpiredClearances(clearedContents, now);
        List<String> keys = List.copyOf(obsoleteRowKeys);
        obsoleteRowKeys.clear();
        return keys;
    }

    private static void removeExpiredClearances(Map<String, Long> clearedAt, long now) {
        Iterator<Long> times = clearedAt.values().iterator();
        while (times.hasNext() && now - times.next() >= CLEARANCE_RETENTION_MILLISECONDS) {
            times.remove();
        }
    }

    private long now() {
        return clock.monotonicMilliseconds();
    }
}
