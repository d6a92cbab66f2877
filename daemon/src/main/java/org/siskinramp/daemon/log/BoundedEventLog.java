package org.siskinramp.daemon.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

/**
 * Hands events to another log on a thread of its own, so that nothing waits for a reader of the
 * log. Each kind of event has a ceiling of lines a second, and the queue is bounded; what was left
 * out is counted by kind in an event of its own.
 */
public final class BoundedEventLog implements EventLog {

    /** Enough for the lines of one second of the heaviest load that one host takes. */
    private static final int QUEUE_EVENTS = 4_096;

    private static final long WINDOW_MILLISECONDS = 1_000;
    private static final long FLUSH_POLL_MILLISECONDS = 5;

    private final EventLog written;
    private final Clock clock;
    private final int linesPerSecond;
    private final BlockingQueue<LogEvent> queue = new ArrayBlockingQueue<>(QUEUE_EVENTS);
    private final Map<String, Integer> taken = new HashMap<>();
    private final Map<String, Integer> left = new TreeMap<>();
    private final Thread writer;
    private long windowBegan;

    /**
     * Creates a log, whose writer must be started.
     *
     * @param written writes the events
     * @param clock tells when a second is over
     * @param linesPerSecond the ceiling for each kind of event
     */
    public BoundedEventLog(EventLog written, Clock clock, int linesPerSecond) {
        this.written = written;
        this.clock = clock;
        this.linesPerSecond = linesPerSecond;
        this.windowBegan = clock.monotonicMilliseconds();
        this.writer = new Thread(this::write, "log");
        this.writer.setDaemon(true);
    }

    /** Starts the writer. */
    public void start() {
        writer.start();
    }

    @Override
    public void record(LogEvent event) {
        LogEvent summary = null;
        synchronized (this) {
            long now = clock.monotonicMilliseconds();
            if (now - windowBegan >= WINDOW_MILLISECONDS) {
                summary = left.isEmpty() ? null : summary();
                windowBegan = now;
                taken.clear();
            }
            boolean fits = taken.merge(event.name(), 1, Integer::sum) <= linesPerSecond;
            if (!fits || !queue.offer(event)) {
                left.merge(event.name(), 1, Integer::sum);
            }
        }
        if (summary != null && !queue.offer(summary)) {
            putBack(summary);
        }
    }

    /** A summary that does not fit counts as a line left out itself. */
    private synchronized void putBack(LogEvent summary) {
        left.merge(summary.name(), 1, Integer::sum);
    }

    private LogEvent summary() {
        LogEvent event = LogEvent.named("lines_left_out");
        left.forEach(event::with);
        left.clear();
        return event;
    }

    private void write() {
        try {
            while (true) {
                written.record(queue.take());
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until all events so far are written, or a time is over.
     *
     * @param limitMilliseconds how long to wait at most
     */
    public void flush(long limitMilliseconds) {
        long end = clock.monotonicMilliseconds() + limitMilliseconds;
        while (!queue.isEmpty() && clock.monotonicMilliseconds() < end) {
            try {
                Thread.sleep(FLUSH_POLL_MILLISECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
