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
 * Keeps under which requests backend servers ended, and refuses a request that ended three. Answers
 * one request that comes again and again, at any host, and ends every server that runs it.
 *
 * <p>What is known is a set that grows: each crash is named by the request and by the start of the
 * server, so that reports may come twice, late and in any order. What the table of crashes holds
 * replaces what was read of it before; what other hosts or this one reported stays until the table
 * had time to show it. After a term one copy may try again, and each further crash doubles the
 * term. Safe for any thread; its lock is taken after all others.
 */
public final class Quarantine {

    /** The operators' bound counts what arrives after the third server has ended. */
    public static final int CRASHES_TO_REFUSE = 3;

    /** A request that ended fewer servers is forgotten after this, a refused one a day later. */
    private static final long MEMORY_MILLISECONDS = 600_000;

    private static final long LONGEST_MEMORY_MILLISECONDS = 24 * Suspect.FIRST_TERM_MILLISECONDS;

    /** A report is written and read within this time, unless the store is away. */
    private static final long UNREAD_MILLISECONDS = 8_000;

    /** Reports and rows that were on their way when a request was acquitted have come by then. */
    private static final long ACQUITTAL_MILLISECONDS = 60_000;

    private static final int CONTENTS_KEPT = 1_000;

    private final Clock clock;
    private final EventLog eventLog;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private final Map<String, Long> acquittedKeys = new LinkedHashMap<>();
    private final Map<String, Long> acquittedContents = new LinkedHashMap<>();
    private final Map<String, QuarantinedContent> unannounced = new LinkedHashMap<>();
    private final List<String> forgottenKeys = new ArrayList<>();
    private volatile boolean empty = true;

    /**
     * Creates a quarantine that refuses nothing.
     *
     * @param clock tells the time
     * @param eventLog is told when a request is refused from now on, and no more
     */
    public Quarantine(Clock clock, EventLog eventLog) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
    }

    /**
     * Tells whether a request is refused.
     *
     * @param content its fingerprint
     * @return true if three servers ended under it, until a term has passed
     */
    public boolean refuses(String content) {
        return refusedMilliseconds(content) > 0;
    }

    /**
     * Returns for how much longer a request is refused.
     *
     * @param content its fingerprint
     * @return milliseconds, 0 if it is not refused
     */
    public long refusedMilliseconds(String content) {
        if (empty) {
            return 0;
        }
        synchronized (this) {
            Suspect suspect = suspects.get(content);
            return suspect == null ? 0 : suspect.refusedMilliseconds(now());
        }
    }

    /**
     * Counts the servers that ended under a request.
     *
     * @param content its fingerprint
     * @return the crashes that are known
     */
    public int crashes(String content) {
        if (empty) {
            return 0;
        }
        synchronized (this) {
            Suspect suspect = suspects.get(content);
            return suspect == null ? 0 : suspect.crashes();
        }
    }

    /**
     * Lets one copy of a request try again whose term has passed; the others are refused for
     * another term.
     *
     * @param content its fingerprint
     */
    public synchronized void beginTrial(String content) {
        Suspect suspect = suspects.get(content);
        if (suspect != null) {
            suspect.changeAt(now());
            eventLog.record(
                    LogEvent.named("quarantine_trial")
                            .with("content", content)
                            .with("crashes", suspect.crashes()));
        }
    }

    /**
     * Takes crashes that this host proved or was told.
     *
     * @param crashes the crashes
     */
    public synchronized void add(Collection<Crash> crashes) {
        crashes.forEach(crash -> add(crash.key(), crash, false));
    }

    private void add(String key, Crash crash, boolean read) {
        if (isAcquitted(acquittedKeys, key)) {
            return;
        }
        Suspect suspect = suspects.computeIfAbsent(crash.content(), content -> new Suspect());
        int before = suspect.crashes();
        suspect.add(key, crash, read, now());
        changed(crash.content(), suspect, before);
    }

    private void changed(String content, Suspect suspect, int before) {
        if (suspect.crashes() <= before) {
            return;
        }
        suspect.changeAt(now());
        suspects.remove(content);
        suspects.put(content, suspect);
        empty = false;
        if (suspect.crashes() >= CRASHES_TO_REFUSE) {
            if (before < CRASHES_TO_REFUSE) {
                log("quarantined", content, suspect, "crashes");
            }
            unannounced.put(content, suspect.described(content));
        }
        dropOldest();
    }

    private void dropOldest() {
        while (suspects.size() > CONTENTS_KEPT) {
            Map.Entry<String, Suspect> oldest = suspects.entrySet().iterator().next();
            forget(oldest.getKey(), oldest.getValue(), "too_many");
        }
    }

    private void forget(String content, Suspect suspect, String reason) {
        suspect.lines()
                .forEach(
                        (key, line) -> {
                            if (line.read()) {
                                forgottenKeys.add(key);
                            }
                        });
        remove(content, reason);
    }

    private void remove(String content, String reason) {
        Suspect suspect = suspects.remove(content);
        unannounced.remove(content);
        empty = suspects.isEmpty();
        if (suspect != null && suspect.wasRefused()) {
            log("quarantine_ended", content, suspect, reason);
        }
    }

    private void log(String event, String content, Suspect suspect, String reason) {
        eventLog.record(
                LogEvent.named(event)
                        .with("content", content)
                        .with("route", suspect.route())
                        .with("crashes", suspect.crashes())
                        .with("backend_servers", suspect.servers())
                        .with("reason", reason));
    }

    /**
     * Takes what was read of the table of crashes.
     *
     * @param changes the changes
     */
    public synchronized void follow(Changes<CrashChange> changes) {
        Set<String> keys = new HashSet<>();
        for (CrashChange change : changes.items()) {
            keys.add(change.key());
            change.crash()
                    .ifPresentOrElse(
                            crash -> add(change.key(), crash, true),
                            () -> release((key, line) -> key.equals(change.key())));
        }
        if (changes.whole()) {
            release((key, line) -> line.read() && !keys.contains(key));
            dropTold(Set.of());
        }
        dropUnread();
    }

    /**
     * Takes which requests a host that reads the table refuses.
     *
     * @param contents the requests
     * @param whole whether these are all that it refuses
     */
    public synchronized void followTold(List<QuarantinedContent> contents, boolean whole) {
        Set<String> told = new HashSet<>();
        for (QuarantinedContent each : contents) {
            told.add(each.content());
            if (each.crashes() >= CRASHES_TO_REFUSE
                    && !isAcquitted(acquittedContents, each.content())) {
                Suspect suspect = suspects.computeIfAbsent(each.content(), key -> new Suspect());
                int before = suspect.crashes();
                suspect.tell(each.crashes(), each.route());
                changed(each.content(), suspect, before);
            }
        }
        if (whole) {
            dropTold(told);
            dropUnread();
        }
    }

    private void dropTold(Set<String> kept) {
        changeEach(
                (content, suspect) -> {
                    if (!kept.contains(content)) {
                        suspect.forgetTold();
                    }
                });
    }

    /** Whoever reads the table had time to tell what stands there. */
    private void dropUnread() {
        long oldest = now() - UNREAD_MILLISECONDS;
        changeEach(
                (content, suspect) ->
                        suspect.dropLines((key, line) -> !line.read() && line.addedAt() < oldest));
    }

    /** Whoever told that the request is refused counted rows that are gone from the table. */
    private void release(BiPredicate<String, Suspect.Line> dropped) {
        changeEach(
                (content, suspect) -> {
                    if (suspect.dropLines(dropped)) {
                        suspect.forgetTold();
                    }
                });
    }

    /** Takes some of what is known away, and removes the requests of which nothing is left. */
    private void changeEach(BiConsumer<String, Suspect> change) {
        for (Map.Entry<String, Suspect> entry : List.copyOf(suspects.entrySet())) {
            Suspect suspect = entry.getValue();
            boolean wasRefused = suspect.wasRefused();
            change.accept(entry.getKey(), suspect);
            if (wasRefused && !suspect.wasRefused()) {
                log("quarantine_ended", entry.getKey(), suspect, "released");
            }
            if (suspect.crashes() == 0) {
                remove(entry.getKey(), "released");
            }
        }
    }

    /**
     * Ends what is held against a request, since a server ran it to its end.
     *
     * @param content its fingerprint
     * @return the keys of its crashes
     */
    public synchronized List<String> acquit(String content) {
        Suspect suspect = suspects.get(content);
        if (suspect == null) {
            return List.of();
        }
        List<String> keys = List.copyOf(suspect.lines().keySet());
        keys.forEach(key -> acquittedKeys.put(key, now()));
        acquittedContents.put(content, now());
        remove(content, "acquitted");
        return keys;
    }

    private boolean isAcquitted(Map<String, Long> acquitted, String key) {
        Long at = acquitted.get(key);
        return at != null && now() - at < ACQUITTAL_MILLISECONDS;
    }

    /**
     * Returns the requests that are refused.
     *
     * @return the requests under which three servers ended or more
     */
    public synchronized List<QuarantinedContent> contents() {
        List<QuarantinedContent> refused = new ArrayList<>();
        suspects.forEach(
                (content, suspect) -> {
                    if (suspect.crashes() >= CRASHES_TO_REFUSE) {
                        refused.add(suspect.described(content));
                    }
                });
        return refused;
    }

    /**
     * Takes out the requests whose refusal others were not told yet.
     *
     * @return the requests
     */
    public synchronized List<QuarantinedContent> takeUnannounced() {
        List<QuarantinedContent> taken = List.copyOf(unannounced.values());
        unannounced.clear();
        return taken;
    }

    /**
     * Returns the crashes that are known for some time and were not read of the table.
     *
     * @param milliseconds for how long at least
     * @return the crashes
     */
    public synchronized List<Crash> unread(long milliseconds) {
        List<Crash> unread = new ArrayList<>();
        for (Suspect suspect : suspects.values()) {
            for (Suspect.Line line : suspect.lines().values()) {
                if (!line.read() && now() - line.addedAt() >= milliseconds) {
                    unread.add(line.crash());
                }
            }
        }
        return unread;
    }

    /**
     * Forgets what is too old.
     *
     * @return the keys of crashes that no host needs any more
     */
    public synchronized List<String> forgetOld() {
        long now = now();
        for (Map.Entry<String, Suspect> entry : List.copyOf(suspects.entrySet())) {
            Suspect suspect = entry.getValue();
            long memory = suspect.wasRefused() ? LONGEST_MEMORY_MILLISECONDS : MEMORY_MILLISECONDS;
            if (now - suspect.changedAt() > memory) {
                forget(entry.getKey(), suspect, "old");
            }
        }
        forgetAcquittals(acquittedKeys, now);
        forgetAcquittals(acquittedContents, now);
        List<String> keys = List.copyOf(forgottenKeys);
        forgottenKeys.clear();
        return keys;
    }

    private static void forgetAcquittals(Map<String, Long> acquitted, long now) {
        Iterator<Long> times = acquitted.values().iterator();
        while (times.hasNext() && now - times.next() >= ACQUITTAL_MILLISECONDS) {
            times.remove();
        }
    }

    private long now() {
        return clock.monotonicMilliseconds();
    }
}
