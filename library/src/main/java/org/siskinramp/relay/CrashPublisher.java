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
 * Writes crashes to the store and retries until the writes succeed. Entries are written in batches,
 * one call at a time. Writes are idempotent, so a retry of a write that succeeded does no harm.
 */
final class CrashPublisher {

    private static final long INITIAL_BACKOFF_MILLISECONDS = 200;

    /** Limits calls in a long outage of the store to one per 3.2 s. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;

    /** About 100 kB. The oldest entries are dropped if a long outage fills the queue. */
    private static final int MAXIMUM_PENDING_ENTRIES = 1_000;

    private final CrashRegistry registry;
    private final Scheduler scheduler;
    private final EventLog eventLog;

    /** Pending writes by key; an empty value removes the entry. */
    private final Map<String, Optional<Crash>> pending = new LinkedHashMap<>();

    private boolean writeInProgress;
    private int failures;

    CrashPublisher(CrashRegistry registry, Scheduler scheduler, EventLog eventLog) {
        this.registry = registry;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    void put(Collection<Crash> crashes) {
        synchronized (this) {
            crashes.forEach(crash -> pending.put(crash.key(), Optional.of(crash)));
            dropOldestEntries();
        }
        writeNext();
    }

    void remove(Collection<String> keys) {
        synchronized (this) {
            keys.forEach(key -> pending.put(key, Optional.empty()));
            dropOldestEntries();
        }
        writeNext();
    }

    private void dropOldestEntries() {
        int excess = pending.size() - MAXIMUM_PENDING_ENTRIES;
        if (excess <= 0) {
            return;
        }
        Iterator<String> oldest = pending.keySet().iterator();
        for (int dropped = 0; dropped < excess; dropped++) {
            oldest.next();
            oldest.remove();
        }
        eventLog.record(LogEvent.named("crashes_not_written").with("dropped", excess));
    }

    private void writeNext() {
        Map<String, Optional<Crash>> batch = new LinkedHashMap<>();
        synchronized (this) {
            if (writeInProgress || pending.isEmpty()) {
                return;
            }
            writeInProgress = true;
            Iterator<Map.Entry<String, Optional<Crash>>> next = pending.entrySet().iterator();
            while (next.hasNext() && batch.size() < CrashRegistry.MAXIMUM_BATCH_ENTRIES) {
                Map.Entry<String, Optional<Crash>> entry = next.next();
                batch.put(entry.getKey(), entry.getValue());
                next.remove();
            }
        }
        List<Crash> added = batch.values().stream().flatMap(Optional::stream).toList();
        List<String> removed = new ArrayList<>(batch.keySet());
        added.forEach(crash -> removed.remove(crash.key()));
        Futures.whenDone(
                registry.write(added, removed),
                (done, failure) -> onWriteCompleted(batch, failure));
    }

    private void onWriteCompleted(Map<String, Optional<Crash>> batch, Throwable failure) {
        long backoffMilliseconds = 0;
        synchronized (this) {
            writeInProgress = false;
            if (failure == null) {
                logWritten(batch.size());
                failures = 0;
            } else {
                batch.forEach(pending::putIfAbsent);
                backoffMilliseconds =
                        INITIAL_BACKOFF_MILLISECONDS
                                << Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
                logFailure(failure);
                failures++;
            }
        }
        if (backoffMilliseconds == 0) {
            writeNext();
        } else {
            scheduler.schedule(backoffMilliseconds, this::writeNext);
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
                            .with("waiting", pending.size())
                            .with("cause", failure.getMessage()));
        }
    }
}
