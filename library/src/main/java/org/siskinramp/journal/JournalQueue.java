package org.siskinramp.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** A bounded queue of journal entries that wait to be written in a batch. */
final class JournalQueue {

    private final String host;
    private final String incarnation;
    private final JournalOptions options;
    private final Deque<WaitingEntry> waiting = new ArrayDeque<>();
    private long sequence;
    private long droppedEntries;
    private long droppedFromMilliseconds;
    private long droppedUntilMilliseconds;

    JournalQueue(String host, String incarnation, JournalOptions options) {
        this.host = host;
        this.incarnation = incarnation;
        this.options = options;
    }

    /**
     * Adds an entry, and drops the oldest one if the queue is over its limit.
     *
     * @return the number of entries dropped
     */
    synchronized int add(
            JournalEntry entry, long monotonicMilliseconds, long calendarMilliseconds) {
        waiting.add(new WaitingEntry(entry, monotonicMilliseconds, calendarMilliseconds));
        if (waiting.size() <= options.maximumWaitingEntries()) {
            return 0;
        }
        WaitingEntry oldest = waiting.remove();
        droppedFromMilliseconds =
                droppedEntries == 0
                        ? oldest.calendarMilliseconds()
                        : Math.min(droppedFromMilliseconds, oldest.calendarMilliseconds());
        droppedUntilMilliseconds =
                droppedEntries == 0
                        ? oldest.calendarMilliseconds()
                        : Math.max(droppedUntilMilliseconds, oldest.calendarMilliseconds());
        droppedEntries++;
        return 1;
    }

    synchronized boolean isEmpty() {
        return waiting.isEmpty() && droppedEntries == 0;
    }

    /**
     * Tells whether the next batch is full, or its first entry has waited for longer than the
     * maximum delay of a batch minus two minimum intervals between batches.
     */
    synchronized boolean isDue(long monotonicMilliseconds) {
        return waiting.size() >= options.maximumBatchEntries()
                || (!waiting.isEmpty()
                        && monotonicMilliseconds - waiting.element().monotonicMilliseconds()
                                > options.maximumBatchDelayMilliseconds()
                                        - 2 * options.minimumBatchIntervalMilliseconds());
    }

    /** Removes the oldest entries and returns them as a batch, with a gap for dropped entries. */
    synchronized JournalBatch takeBatch(long calendarMilliseconds) {
        List<JournalEntry> entries = new ArrayList<>();
        long coveredUntilMilliseconds = calendarMilliseconds;
        while (!waiting.isEmpty() && entries.size() < options.maximumBatchEntries()) {
            WaitingEntry next = waiting.remove();
            entries.add(next.entry());
            coveredUntilMilliseconds = next.calendarMilliseconds();
        }
        if (waiting.isEmpty()) {
            coveredUntilMilliseconds = calendarMilliseconds;
        }
        List<JournalGap> gaps = takeGap().map(List::of).orElse(List.of());
        sequence++;
        return new JournalBatch(
                host, incarnation, sequence, coveredUntilMilliseconds, entries, gaps);
    }

    private Optional<JournalGap> takeGap() {
        if (droppedEntries == 0) {
            return Optional.empty();
        }
        JournalGap gap =
                new JournalGap(
                        host,
                        incarnation,
                        droppedFromMilliseconds,
                        droppedUntilMilliseconds,
                        droppedEntries,
                        "too many entries waited for the object store");
        droppedEntries = 0;
        return Optional.of(gap);
    }

    private record WaitingEntry(
            JournalEntry entry, long monotonicMilliseconds, long calendarMilliseconds) {}
}
