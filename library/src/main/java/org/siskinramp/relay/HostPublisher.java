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

    private static final long INITIAL_BACKOFF_MILLISECONDS = 500;

    /** Limits the calls in a long outage of the store. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;

    private final HostRegistry registry;
    private final HostEntry self;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private final AtomicBoolean started = new AtomicBoolean();
    private int failures;

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
            scheduleRenewal();
            return false;
        }
        publish();
        return true;
    }

    private void publish() {
        Futures.whenDone(registry.publish(self), (done, failure) -> onPublishCompleted(failure));
    }

    private synchronized void onPublishCompleted(Throwable failure) {
        if (failure == null) {
            eventLog.record(
                    LogEvent.named("host_published")
                            .with("peer_address", self.address())
                            .with("failures", failures));
            failures = 0;
            scheduleRenewal();
            return;
        }
        if (failures == 0) {
            eventLog.record(
                    LogEvent.named("host_not_published").with("cause", failure.getMessage()));
        }
        long backoffMilliseconds =
                INITIAL_BACKOFF_MILLISECONDS << Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
        failures++;
        scheduler.schedule(backoffMilliseconds, this::publish);
    }

    /** Schedules a renewal of the entry before it expires. */
    private void scheduleRenewal() {
        scheduler.schedule(RENEWAL_INTERVAL_MILLISECONDS, this::publish);
    }
}
