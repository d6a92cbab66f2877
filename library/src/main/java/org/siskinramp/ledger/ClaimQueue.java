package org.siskinramp.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.siskinramp.ledger.ClaimTable.Entry;

/** Collects claims for a few milliseconds, so that one transaction serves many. */
final class ClaimQueue {

    private final LedgerParts parts;
    private final Consumer<List<Entry>> target;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private boolean scheduled;

    ClaimQueue(LedgerParts parts, Consumer<List<Entry>> target) {
        this.parts = parts;
        this.target = target;
    }

    void add(Entry entry) {
        if (enqueue(entry)) {
            flushLater(parts.options().groupDelayMilliseconds());
        }
    }

    private synchronized boolean enqueue(Entry entry) {
        waiting.add(entry);
        boolean first = !scheduled;
        scheduled = true;
        return first;
    }

    private void flushLater(long delayMilliseconds) {
        long bookedMilliseconds = parts.budget().book();
        parts.scheduler().schedule(Math.max(delayMilliseconds, bookedMilliseconds), this::flush);
    }

    private void flush() {
        List<Entry> group = takeGroup();
        if (hasMore()) {
            flushLater(0);
        }
        target.accept(group);
    }

    private synchronized List<Entry> takeGroup() {
        List<Entry> group = new ArrayList<>();
        while (!waiting.isEmpty() && group.size() < parts.options().groupSize()) {
            group.add(waiting.remove());
        }
        scheduled = !waiting.isEmpty();
        return group;
    }

    private synchronized boolean hasMore() {
        return scheduled;
    }
}
