package org.siskinramp.journal;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.TimeLimitedPlatform;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Writes how every request of this host ended to the object store.
 *
 * <p>One object is written at a time: first the marker of the begin, then batches in order, now and
 * then an index. A write that fails is repeated until it is durable.
 */
public final class Journal {

    private static final long LONGEST_RETRY_MILLISECONDS = 10_000;

    private final String host;
    private final String incarnation;
    private final Platform platform;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final Counters counters;
    private final JournalOptions options;
    private final JournalQueue queue;
    private final IndexWriter index;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private volatile boolean closing;
    private boolean begun;
    private Optional<JournalBatch> unwritten = Optional.empty();
    private long lastBatchAt;
    private long retryMilliseconds;

    /**
     * Creates a journal that writes nothing before it is started.
     *
     * @param host this entry host's name
     * @param incarnation this entry host's incarnation
     * @param platform where to write
     * @param clock the clock
     * @param scheduler runs the writes
     * @param eventLog receives an event for each gap and failure
     * @param counters counts dropped entries
     * @param options times and sizes
     */
    public Journal(
            String host,
            String incarnation,
            Platform platform,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog,
            Counters counters,
            JournalOptions options) {
        this.host = Objects.requireNonNull(host, "host");
        this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
        this.counters = Objects.requireNonNull(counters, "counters");
        this.options = Objects.requireNonNull(options, "options");
        this.platform =
                new TimeLimitedPlatform(
                        platform, scheduler, counters, options.callLimitMilliseconds());
        this.queue = new JournalQueue(host, incarnation, options);
        this.index = new IndexWriter(host, incarnation, options);
    }

    /** Starts to write. */
    public void start() {
        lastBatchAt = clock.monotonicMilliseconds();
        index.start(lastBatchAt);
        poll();
    }

    /**
     * Records how a request ended.
     *
     * @param entry the entry
     */
    public void record(JournalEntry entry) {
        int dropped = queue.add(entry, clock.monotonicMilliseconds(), clock.calendarMilliseconds());
        if (dropped > 0) {
            counters.add(Counter.JOURNAL_DROPS, dropped);
        }
    }

    /** Writes what waits and then a marker that this host ended. Call it after the last request. */
    public void close() {
        closing = true;
    }

    /**
     * Returns the end of the journal, which begins with {@link #close}.
     *
     * @return completes once the marker is durable; while the store is down it does not
     */
    public CompletableFuture<Void> closed() {
        return closed.copy();
    }

    private void poll() {
        Futures.whenDone(
                writeNext(),
                (nothing, failure) -> {
                    if (failure == null) {
                        retryMilliseconds = options.batchGapMilliseconds();
                    } else {
                        retryMilliseconds =
                                Math.min(2 * retryMilliseconds, LONGEST_RETRY_MILLISECONDS);
                        log("journal_unwritten", ResultException.from(failure));
                    }
                    if (!closed.isDone() || !queue.isEmpty()) {
                        scheduler.schedule(
                                Math.max(options.batchGapMilliseconds(), retryMilliseconds),
                                this::poll);
                    }
                });
    }

    private CompletableFuture<Void> writeNext() {
        long now = clock.monotonicMilliseconds();
        if (!begun) {
            return writeMarker(true).thenRun(() -> begun = true);
        }
        if (unwritten.isEmpty() && isBatchDue(now)) {
            unwritten = Optional.of(queue.takeBatch(clock.calendarMilliseconds()));
            lastBatchAt = now;
            unwritten.get().gaps().forEach(this::logGap);
        }
        if (unwritten.isPresent()) {
            return writeBatch(unwritten.get());
        }
        if (index.isDue(now, closing)) {
            return index.write(platform, now, clock.calendarMilliseconds());
        }
        return closing ? writeMarker(false).thenRun(() -> closed.complete(null)) : nothing();
    }

    private boolean isBatchDue(long now) {
        boolean idle = now - lastBatchAt >= options.idleIntervalMilliseconds();
        return queue.isDue(now) || (closing ? !queue.isEmpty() : idle);
    }

    private CompletableFuture<Void> writeMarker(boolean begin) {
        Marker marker = new Marker(host, incarnation, begin, clock.calendarMilliseconds());
        return platform.putObject(marker.objectName(), new byte[0]);
    }

    private CompletableFuture<Void> writeBatch(JournalBatch batch) {
        return platform.putObject(batch.name().objectName(), BatchCodec.write(batch))
                .thenRun(
                        () -> {
                            unwritten = Optional.empty();
                            index.add(batch);
                        });
    }

    private static CompletableFuture<Void> nothing() {
        return CompletableFuture.completedFuture(null);
    }

    private void logGap(JournalGap gap) {
        eventLog.record(
                LogEvent.named("journal_gap")
                        .with("from", gap.fromMilliseconds())
                        .with("until", gap.untilMilliseconds())
                        .with("dropped", gap.droppedEntries()));
    }

    private void log(String event, ResultException failure) {
        eventLog.record(
                LogEvent.named(event)
                        .with("code", failure.code().number())
                        .with("retry_ms", retryMilliseconds));
    }
}
