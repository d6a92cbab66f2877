package org.siskinramp.daemon.gateway;

import java.util.concurrent.atomic.AtomicInteger;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

/**
 * Detects that the process runs late, because it lacks processor time or was suspended. Whatever
 * arrived meanwhile, such as requests and the disconnects of their callers, has waited that long.
 */
final class DelayMonitor {

    /** Shorter delays are usual on a busy host and are not logged. */
    static final long LOGGED_DELAY_MILLISECONDS = 200;

    private final Clock clock;
    private final EventLog eventLog;
    private final AtomicInteger delays = new AtomicInteger();
    private volatile long dueMilliseconds = Long.MAX_VALUE;

    DelayMonitor(Clock clock, EventLog eventLog) {
        this.clock = clock;
        this.eventLog = eventLog;
    }

    /** Records that the periodic task was scheduled. */
    void taskScheduled(long delayMilliseconds) {
        dueMilliseconds = clock.monotonicMilliseconds() + delayMilliseconds;
    }

    /** Records that the periodic task has started. */
    void taskStarted() {
        long delayMilliseconds = clock.monotonicMilliseconds() - dueMilliseconds;
        if (delayMilliseconds >= LOGGED_DELAY_MILLISECONDS) {
            delays.incrementAndGet();
            eventLog.record(LogEvent.named("process_delayed").with("delay_ms", delayMilliseconds));
        }
    }

    /** Returns how often the process ran late. */
    int delays() {
        return delays.get();
    }
}
