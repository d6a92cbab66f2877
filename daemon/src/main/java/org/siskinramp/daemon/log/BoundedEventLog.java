package org.siskinramp.daemon.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

/**
 * Passes events on to another log on a separate thread, so that a slow reader of the log output
 * delays nothing else. The rate of events with the same name is limited, and so is the queue; the
 * numbers of dropped events are logged by name in an event {@code lines_left_out}.
 */
public final class BoundedEventLog implements EventLog {

    /** Enough for the events of one second at the maximum load of a host. */
    private static final int QUEUE_EVENTS = 4_096;

    private static final long WINDOW_MILLISECONDS = 1_000;
    private static final long FLUSH_POLL_MILLISECONDS = 5;

    private final EventLog target;
    private final Clock clock;
    private final int linesPerSecond;
    private final BlockingQueue<LogEvent> queue = new ArrayBlockingQueue<>(QUEUE_EVENTS);
    private final AtomicInteger unwritten = new AtomicInteger();
    private final Map<String, Integer> countsInWindow = new HashMap<>();
    private final Map<String, Integer> dropped = new TreeMap<>();
    private final Thread writer;
    private long windowStart;

    /**
     * Creates a log, which must be started.
     *
     * @param target receives the events on the separate thread
     * @param clock measures the seconds of the rate limit
     * @param linesPerSecond the maximum number of events with the same name in one second
     */
    public BoundedEventLog(EventLog target, Clock clock, int linesPerSecond) {
        this.target = target;
        this.clock = clock;
        this.linesPerSecond = linesPerSecond;
        this.windowStart = clock.monotonicMilliseconds();
        this.writer = new Thread(this::write, "log");
        this.writer.setDaemon(true);
    }

    /** Starts the thread that passes the events on. */
    public void start() {
        writer.start();
    }

    @Override
    public void record(LogEvent event) {
        LogEvent summary = null;
        synchronized (this) {
            long now = clock.monotonicMilliseconds();
            if (now - windowStart >= WINDOW_MILLISECONDS) {
                summary = dropped.isEmpty() ? null : summary();
                windowStart = now;
                countsInWindow.clear();
            }
            boolean fits = countsInWindow.merge(event.name(), 1, Integer::sum) <= linesPerSecond;
            if (!fits || !enqueue(event)) {
                dropped.merge(event.name(), 1, Integer::sum);
            }
        }
        if (summary != null && !enqueue(summary)) {
            countDropped(summary);
        }
    }

    private boolean enqueue(LogEvent event) {
        unwritten.incrementAndGet();
        boolean accepted = queue.offer(event);
        if (!accepted) {
            unwritten.decrementAndGet();
        }
        return accepted;
    }

    /** Counts a summary that found no room in the queue as a dropped event. */
    private synchronized void countDropped(LogEvent summary) {
        dropped.merge(summary.name(), 1, Integer::sum);
    }

    private LogEvent summary() {
        LogEvent event = LogEvent.named("lines_left_out");
        dropped.forEach(event::with);
        dropped.clear();
        return event;
    }

    private void write() {
        try {
            while (true) {
                target.record(queue.take());
                unwritten.decrementAndGet();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until all events have been passed on, at most for a given time.
     *
     * @param limitMilliseconds the maximum time to wait
     */
    public void flush(long limitMilliseconds) {
        long end = clock.monotonicMilliseconds() + limitMilliseconds;
        while (unwritten.get() > 0 && clock.monotonicMilliseconds() < end) {
            try {
                Thread.sleep(FLUSH_POLL_MILLISECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
