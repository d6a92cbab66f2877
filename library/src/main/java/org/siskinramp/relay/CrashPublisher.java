package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.quarantine.Crash;
import org.siskinramp.result.Futures;
import org.siskinramp.time.Scheduler;

/**
 * Writes crashes until the store keeps them, many in one call and one call at a time. Writes may
 * come twice, since a crash is written the same each time.
 */
final class CrashPublisher {

    private static final long FIRST_PAUSE_MILLISECONDS = 200;

    /** Bounds what a long outage of the store costs in calls: one in 3.2 s. */
    private static final int DOUBLINGS_AT_MOST = 4;

    /** About 100 kB; a store that is away for longer than this lasts has other troubles. */
    private static final int WAITING_AT_MOST = 1_000;

    private final CrashRegistry registry;
    private final Scheduler scheduler;
    private final EventLog eventLog;

    /** A key without a crash is to be removed. */
    private final Map<String, Optional<Crash>> waiting = new LinkedHashMap<>();

    private boolean writing;
    private int failures;

    CrashPublisher(CrashRegistry registry, Scheduler scheduler, EventLog eventLog) {
        this.registry = registry;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    void put(Collection<Crash> crashes) {
        synchronized (this) {
            crashes.forEach(crash -> waiting.put(crash.key(), Optional.of(crash)));
            dropOldest();
        }
        writeNext();
    }

    void remove(Collection<String> keys) {
        synchronized (this) {
            keys.forEach(key -> waiting.put(key, Optional.empty()));
            dropOldest();
        }
        writeNext();
    }

    private void dropOldest() {
        int surplus = waiting.size() - WAITING_AT_MOST;
        if (surplus <= 0) {
            return;
        }
        Iterator<String> oldest = waiting.keySet().iterator();
        for (int dropped = 0; dropped < surplus; dropped++) {
            oldest.next();
            oldest.remove();
        }
        eventLog.record(LogEvent.named("crashes_not_written").with("dropped", surplus));
    }

    private void writeNext() {
        Map<String, Optional<Crash>> batch = new LinkedHashMap<>();
        synchronized (this) {
            if (writing || waiting.isEmpty()) {
                return;
            }
            writing = true;
            Iterator<Map.Entry<String, Optional<Crash>>> next = waiting.entrySet().iterator();
            while (next.hasNext() && batch.size() < CrashRegistry.ENTRIES_AT_MOST) {
                Map.Entry<String, Optional<Crash>> entry = next.next();
                batch.put(entry.getKey(), entry.getValue());
                next.remove();
            }
        }
        List<Crash> added = batch.values().stream().flatMap(Optional::stream).toList();
        List<String> removed = new ArrayList<>(batch.keySet());
        added.forEach(crash -> removed.remove(crash.key()));
        Futures.whenDone(registry.write(added, removed), (done, failure) -> ended(batch, failure));
    }

    private void ended(Map<String, Optional<Crash>> batch, Throwable failure) {
        long pause = 0;
        synchronized (this) {
            writing = false;
            if (failure == null) {
                logWritten(batch.size());
                failures = 0;
            } else {
                batch.forEach(waiting::putIfAbsent);
                pause = FIRST_PAUSE_MILLISECONDS << Math.min(failures, DOUBLINGS_AT_MOST);
                logFailure(failure);
                failures++;
            }
        }
        if (pause == 0) {
            writeNext();
        } else {
            scheduler.schedule(pause, this::writeNext);
        }
    }

    private void logWritten(int entries) {
        eventLog.record(
                LogEvent.named("crashes_written")
                        .with("entries", entries)
                        .with("failures", failures));
    }

    private void logFailure(Throwable failure) {
        if (failures == 0) {
            eventLog.record(
                    LogEvent.named("crashes_not_written")
                            .with("waiting", waiting.size())
                            .with("cause", failure.getMessage()));
        }
    }
}
