package org.siskinramp.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.daemon.caller.CallerServer;
import org.siskinramp.gateway.Gateway;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Ends the work of a gateway ahead of a planned stop: connections end with their next answer, new
 * ones are taken until callers have learnt that this host is not ready, and requests in progress
 * end before the process does.
 */
final class GatewayStop {

    /**
     * How long requests are still taken. The platform asks every second and takes a host out after
     * two answers; one more second lets the last new connections send their request.
     */
    private static final long TAKING_MILLISECONDS = 3_000;

    /** What is left of the grace time for the end of the process itself. */
    private static final long EXIT_MILLISECONDS = 350;

    /** Requests that were on their way when listening ended have come and are answered by then. */
    private static final long QUIET_MILLISECONDS = 200;

    private static final long POLL_MILLISECONDS = 20;

    private final Gateway gateway;
    private final CallerServer callers;
    private final long graceMilliseconds;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;

    GatewayStop(
            Gateway gateway,
            CallerServer callers,
            long graceMilliseconds,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog) {
        this.gateway = gateway;
        this.callers = callers;
        this.graceMilliseconds = graceMilliseconds;
        this.clock = clock;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    /** Returns once no request is in progress or the grace time is nearly over. */
    void run() {
        long begun = clock.monotonicMilliseconds();
        long end = begun + graceMilliseconds - EXIT_MILLISECONDS;
        eventLog.record(
                LogEvent.named("stop")
                        .with("grace_ms", graceMilliseconds)
                        .with("requests_in_progress", gateway.inProgress()));
        callers.closeConnections();
        waitFor(Math.max(0, Math.min(end - begun, TAKING_MILLISECONDS)));
        callers.stopListening();
        callers.refuseNewRequests();
        awaitQuiet(end);
        eventLog.record(
                LogEvent.named("stopped")
                        .with("requests_cut", callers.openRequests())
                        .with("took_ms", clock.monotonicMilliseconds() - begun));
    }

    /** Returns once no request has been in progress for a while, or at the end. */
    private void awaitQuiet(long end) {
        long now = clock.monotonicMilliseconds();
        long busyAt = now;
        while (now < end && now - busyAt < QUIET_MILLISECONDS) {
            waitFor(POLL_MILLISECONDS);
            now = clock.monotonicMilliseconds();
            busyAt = callers.openRequests() > 0 ? now : busyAt;
        }
    }

    private void waitFor(long milliseconds) {
        CompletableFuture<Void> passed = new CompletableFuture<>();
        scheduler.schedule(milliseconds, () -> passed.complete(null));
        passed.join();
    }
}
