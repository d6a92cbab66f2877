package org.siskinramp.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Keeps the entries that wait for their batch, within a bound. */
final class JournalQueue {

    private final String host;
    private final String incarnation;
    private final JournalOptions options;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private long sequence;
    private long dropped;
    private long droppedFrom;
    private long droppedUntil;

    JournalQueue(String host, String incarnation, JournalOptions options) {
        this.host = host;
        this.incarnation = incarnation;
        this.options = options;
    }

    /**
     * Adds an entry, and drops the oldest if there are too many.
     *
     * @return how many entries were dropped
     */
    synchronized int add(JournalEntry entry, long monotonic, long calendar) {
        waiting.add(new Waiting(entry, monotonic, calendar));
        if (waiting.size() <= options.waitingEntries()) {
            return 0;
        }
        Waiting oldest = waiting.remove();
        droppedFrom = dropped == 0 ? oldest.calendar() : Math.min(droppedFrom, oldest.calendar());
        droppedUntil = dropped == 0 ? oldest.calendar() : Math.max(droppedUntil, oldest.calendar());
        dropped++;
        return 1;
    }

    synchronized boolean isEmpty() {
        return waiting.isEmpty() && dropped == 0;
    }

    /** Tells whether a batch is full or its first entry has waited for long enough. */
    synchronized boolean isDue(long monotonic) {
        return waiting.size() >= options.batchEntries()
                || (!waiting.isEmpty()
                        && monotonic - waiting.element().monotonic()
                                > options.batchIntervalMilliseconds()
                                        - 2 * options.batchGapMilliseconds());
    }

    /** Makes a batch of the oldest entries and of what was dropped before them. */
    synchronized JournalBatch takeBatch(long calendar) {
        List<JournalEntry> entries = new ArrayList<>();
        long coveredUntil = calendar;
        while (!waiting.isEmpty() && entries.size() < options.batchEntries()) {
            Waiting next = waiting.remove();
            entries.add(next.entry());
            coveredUntil = next.calendar();
        }
        if (waiting.isEmpty()) {
            coveredUntil = calendar;
        }
        List<JournalGap> gaps = takeGap().map(List::of).orElse(List.of());
        sequence++;
        return new JournalBatch(host, incarnation, sequence, coveredUntil, entries, gaps);
    }

    private Optional<JournalGap> takeGap() {
        if (dropped == 0) {
            return Optional.empty();
        }
        JournalGap gap =
                new JournalGap(
                        host,
                        incarnation,
                        droppedFrom,
                        droppedUntil,
                        dropped,
                        "too many entries waited for the object store");
        dropped = 0;
        return Optional.of(gap);
    }

    private record Waiting(JournalEntry entry, long monotonic, long calendar) {}
}
