package org.siskinramp.relay;

import java.util.concurrent.atomic.AtomicBoolean;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.Futures;
import org.siskinramp.time.Scheduler;

/** Publishes the entry of this host with retries, and renews it periodically. */
final class HostPublisher {

    /** About a third of the time after which an entry that is not renewed expires. */
    private static final long RENEWAL_INTERVAL_MILLISECONDS = 5 * 60_000;

    /** Spreads the writes of a large deployment well below the rate limit of the store. */
    private static final int REPUBLISH_SPREAD_MILLISECONDS = 2_000;

    private static final long INITIAL_BACKOFF_MILLISECONDS = 500;

    /** Limits the calls in a long outage of the store. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;

    private final HostRegistry registry;
    private final HostEntry self;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final AtomicBoolean started = new AtomicBoolean();
    private int failures;
    private int latestScheduled;
    private boolean republishPending;

    HostPublisher(HostRegistry registry, HostEntry self, Scheduler scheduler, EventLog eventLog) {
        this.registry = registry;
        this.self = self;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    /**
     * On the first call, publishes this host unless its entry is published already. Later calls do
     * nothing.
     *
     * @param isPublished whether the hosts table holds the current entry of this host
     * @return true if the entry is published by this call
     */
    boolean publishOnce(boolean isPublished) {
        if (!started.compareAndSet(false, true)) {
            return false;
        }
        if (isPublished) {
            schedulePublish(RENEWAL_INTERVAL_MILLISECONDS);
            return false;
        }
        publish();
        return true;
    }

    /** Publishes this host again, since the store may have lost its entry. */
    synchronized void publishAgain() {
        // Spreads the writes of all hosts, which learn of the loss at about the same time.
        int delayMilliseconds =
                Math.floorMod(self.name().hashCode(), REPUBLISH_SPREAD_MILLISECONDS);
        republishPending = true;
        schedulePublish(delayMilliseconds);
    }

    private void publish() {
        Futures.whenDone(registry.publish(self), (done, failure) -> onPublishCompleted(failure));
    }

    private synchronized void onPublishCompleted(Throwable failure) {
        long delayMilliseconds = RENEWAL_INTERVAL_MILLISECONDS;
        if (failure == null) {
            eventLog.record(
                    LogEvent.named("host_published")
                            .with("peer_address", self.address())
                            .with("failures", failures));
            failures = 0;
        } else {
            if (failures == 0) {
                eventLog.record(
                        LogEvent.named("host_not_published").with("cause", failure.getMessage()));
            }
            delayMilliseconds =
                    INITIAL_BACKOFF_MILLISECONDS << Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
            failures++;
        }
        if (!republishPending) {
            schedulePublish(delayMilliseconds);
        }
    }

    /** Schedules the next publication, instead of the one scheduled before. */
    private synchronized void schedulePublish(long delayMilliseconds) {
        latestScheduled++;
        int scheduled = latestScheduled;
        scheduler.schedule(delayMilliseconds, () -> publishIfLatest(scheduled));
    }

    private void publishIfLatest(int scheduled) {
        synchronized (this) {
            if (scheduled != latestScheduled) {
                return;
            }
            republishPending = false;
        }
        publish();
    }
}
