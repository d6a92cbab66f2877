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
 * Writes the outcome of every request of this host to the object store.
 *
 * <p>One object is written at a time: first the begin marker, then batches in order and, at longer
 * intervals, an index. A failed write is retried until the object is durable.
 */
public final class Journal {

    private static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 10_000;

    private final String host;
    private final String incarnation;
    private final Platform platform;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final Counters counters;
    private final JournalOptions options;
    private final JournalQueue queue;
    private final IndexWriter indexWriter;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private volatile boolean closeRequested;
    private boolean beginMarkerWritten;
    private Optional<JournalBatch> pendingBatch = Optional.empty();
    private long lastBatchAt;
    private long retryDelayMilliseconds;

    /**
     * Creates a journal, which writes nothing until it is started.
     *
     * @param host this entry host's name
     * @param incarnation this entry host's incarnation
     * @param platform the platform, whose object store the journal is written to
     * @param clock the clock
     * @param scheduler runs the writes after their delays
     * @param eventLog writes a log line for each gap and each failed write
     * @param counters counts dropped entries
     * @param options time and size limits
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
                        platform, scheduler, counters, options.callTimeLimitMilliseconds());
        this.queue = new JournalQueue(host, incarnation, options);
        this.indexWriter = new IndexWriter(host, incarnation, options);
    }

    /** Starts to write. Call this once. */
    public void start() {
        lastBatchAt = clock.monotonicMilliseconds();
        indexWriter.start(lastBatchAt);
        writeNextAndReschedule();
    }

    /**
     * Records the outcome of a request.
     *
     * @param entry the entry
     */
    public void record(JournalEntry entry) {
        int dropped = queue.add(entry, clock.monotonicMilliseconds(), clock.calendarMilliseconds());
        if (dropped > 0) {
            counters.add(Counter.JOURNAL_DROPS, dropped);
        }
    }

    /** Starts to write the waiting entries and then the end marker. Call after the last request. */
    public void close() {
        closeRequested = true;
    }

    /**
     * Returns a future that completes once {@link #close} was called and the journal is durable.
     *
     * @return completes once all entries and the end marker are durable, which requires that the
     *     object store is available
     */
    public CompletableFuture<Void> closed() {
        return closed.copy();
    }

    private void writeNextAndReschedule() {
        Futures.whenDone(
                writeNext(),
                (ignored, failure) -> {
                    if (failure == null) {
                        retryDelayMilliseconds = options.minimumBatchIntervalMilliseconds();
                    } else {
                        retryDelayMilliseconds =
                                Math.min(
                                        2 * retryDelayMilliseconds,
                                        MAXIMUM_RETRY_DELAY_MILLISECONDS);
                        log("journal_unwritten", ResultException.from(failure));
                    }
                    if (!closed.isDone() || !queue.isEmpty()) {
                        scheduler.schedule(
                                Math.max(
                                        options.minimumBatchIntervalMilliseconds(),
                                        retryDelayMilliseconds),
                                this::writeNextAndReschedule);
                    }
                });
    }

    /** Writes the next object that is due, if any. */
    private CompletableFuture<Void> writeNext() {
        long now = clock.monotonicMilliseconds();
        if (!beginMarkerWritten) {
            return writeMarker(true).thenRun(() -> beginMarkerWritten = true);
        }
        if (pendingBatch.isEmpty() && isBatchDue(now)) {
            pendingBatch = Optional.of(queue.takeBatch(clock.calendarMilliseconds()));
            lastBatchAt = now;
            pendingBatch.get().gaps().forEach(this::logGap);
        }
        if (pendingBatch.isPresent()) {
            return writeBatch(pendingBatch.get());
        }
        if (indexWriter.isDue(now, closeRequested)) {
            return indexWriter.write(platform, now, clock.calendarMilliseconds());
        }
        return closeRequested
                ? writeMarker(false).thenRun(() -> closed.complete(null))
                : completed();
    }

    private boolean isBatchDue(long now) {
        boolean idle = now - lastBatchAt >= options.idleIntervalMilliseconds();
        return queue.isDue(now) || (closeRequested ? !queue.isEmpty() : idle);
    }

    private CompletableFuture<Void> writeMarker(boolean begin) {
        IncarnationMarker marker =
                new IncarnationMarker(host, incarnation, begin, clock.calendarMilliseconds());
        return platform.putObject(marker.objectName(), new byte[0]);
    }

    private CompletableFuture<Void> writeBatch(JournalBatch batch) {
        return platform.putObject(batch.name().objectName(), BatchCodec.write(batch))
                .thenRun(
                        () -> {
                            pendingBatch = Optional.empty();
                            indexWriter.add(batch);
                        });
    }

    private static CompletableFuture<Void> completed() {
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
                        .with("retry_ms", retryDelayMilliseconds));
    }
}
