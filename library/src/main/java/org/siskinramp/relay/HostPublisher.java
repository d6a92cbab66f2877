package org.siskinramp.relay;

import java.util.concurrent.atomic.AtomicBoolean;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.Futures;
import org.siskinramp.time.Scheduler;

/** Publishes this host until it succeeds, and again from time to time. */
final class HostPublisher {

    /** A third of the time after which an entry that is not renewed is no longer counted. */
    private static final long RENEWAL_MILLISECONDS = 5 * 60_000;

    private static final long FIRST_PAUSE_MILLISECONDS = 500;

    /** Bounds what a long outage of the store costs in calls. */
    private static final int DOUBLINGS_AT_MOST = 4;

    private final HostRegistry registry;
    private final HostEntry self;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final AtomicBoolean begun = new AtomicBoolean();
    private int failures;

    HostPublisher(HostRegistry registry, HostEntry self, Scheduler scheduler, EventLog eventLog) {
        this.registry = registry;
        this.self = self;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    /**
     * Publishes this host the first time that this is called, unless its entry is there.
     *
     * @return true if it is published now
     */
    boolean publishOnce(boolean isThere) {
        if (!begun.compareAndSet(false, true)) {
            return false;
        }
        if (isThere) {
            renewLater();
            return false;
        }
        publish();
        return true;
    }

    private void publish() {
        Futures.whenDone(registry.publish(self), (done, failure) -> ended(failure));
    }

    private synchronized void ended(Throwable failure) {
        if (failure == null) {
            eventLog.record(
                    LogEvent.named("host_published")
                            .with("peer_address", self.address())
                            .with("failures", failures));
            failures = 0;
            renewLater();
            return;
        }
        if (failures == 0) {
            eventLog.record(
                    LogEvent.named("host_not_published").with("cause", failure.getMessage()));
        }
        long pause = FIRST_PAUSE_MILLISECONDS << Math.min(failures, DOUBLINGS_AT_MOST);
        failures++;
        scheduler.schedule(pause, this::publish);
    }

    /** Publishes this host again before others forget it. */
    private void renewLater() {
        scheduler.schedule(RENEWAL_MILLISECONDS, this::publish);
    }
}
