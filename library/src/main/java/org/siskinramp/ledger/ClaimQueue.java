package org.siskinramp.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.siskinramp.ledger.ClaimTable.Entry;

/** Collects claims for a few milliseconds, so that one transaction commits a group of them. */
final class ClaimQueue {

    private final LedgerEnvironment environment;
    private final Consumer<List<Entry>> committer;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private boolean flushScheduled;

    ClaimQueue(LedgerEnvironment environment, Consumer<List<Entry>> committer) {
        this.environment = environment;
        this.committer = committer;
    }

    void add(Entry entry) {
        if (enqueue(entry)) {
            scheduleFlush(environment.options().groupDelayMilliseconds());
        }
    }

    private synchronized boolean enqueue(Entry entry) {
        waiting.add(entry);
        boolean needsFlush = !flushScheduled;
        flushScheduled = true;
        return needsFlush;
    }

    private void scheduleFlush(long delayMilliseconds) {
        long rateLimitDelayMilliseconds = environment.transactionRateLimiter().reserve();
        environment
                .scheduler()
                .schedule(Math.max(delayMilliseconds, rateLimitDelayMilliseconds), this::flush);
    }

    private void flush() {
        List<Entry> group = takeGroup();
        if (isFlushScheduled()) {
            scheduleFlush(0);
        }
        committer.accept(group);
    }

    private synchronized List<Entry> takeGroup() {
        List<Entry> group = new ArrayList<>();
        while (!waiting.isEmpty() && group.size() < environment.options().maximumGroupSize()) {
            group.add(waiting.remove());
        }
        flushScheduled = !waiting.isEmpty();
        return group;
    }

    private synchronized boolean isFlushScheduled() {
        return flushScheduled;
    }
}
