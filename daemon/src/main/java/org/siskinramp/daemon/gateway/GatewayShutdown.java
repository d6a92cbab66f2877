package org.siskinramp.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.daemon.caller.CallerServer;
import org.siskinramp.gateway.Gateway;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Shuts a gateway down gracefully. It closes each caller connection after its next answer, accepts
 * new connections until the platform has noticed that this host is not ready, and then waits for
 * the requests in progress and until callers have received the last answers. Requests that may last
 * beyond the end are refused from the start.
 */
final class GatewayShutdown {

    /**
     * How long new requests are still accepted. The platform checks readiness every second and
     * removes a host after two failed checks; one more second lets callers send their requests on
     * the last new connections.
     */
    private static final long ACCEPT_MILLISECONDS = 3_000;

    /** Part of the grace time that is reserved for the exit of the process. */
    private static final long EXIT_RESERVE_MILLISECONDS = 350;

    /** Requests in transit when listening ended have arrived and are answered by then. */
    private static final long QUIET_PERIOD_MILLISECONDS = 200;

    /** A request that ends at its deadline is answered within this time. */
    private static final long LAST_ANSWER_MILLISECONDS = 100;

    private static final long POLL_INTERVAL_MILLISECONDS = 20;

    private final Gateway gateway;
    private final CallerServer callers;
    private final long graceMilliseconds;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;

    GatewayShutdown(
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

    /**
     * Shuts down; returns when no request is in progress and no connection is being closed, or when
     * the grace time is nearly over.
     */
    void run() {
        long start = clock.monotonicMilliseconds();
        long end = start + graceMilliseconds - EXIT_RESERVE_MILLISECONDS;
        eventLog.record(
                LogEvent.named("stop")
                        .with("grace_ms", graceMilliseconds)
                        .with("requests_in_progress", gateway.requestsInProgress()));
        callers.disableKeepAlive();
        callers.refuseRequestsBeyond(end - LAST_ANSWER_MILLISECONDS);
        sleep(Math.max(0, Math.min(end - start, ACCEPT_MILLISECONDS)));
        callers.stopListening();
        callers.refuseNewRequests();
        awaitQuietPeriod(end);
        eventLog.record(
                LogEvent.named("stopped")
                        .with("requests_cut", callers.requestsInProgress())
                        .with("connections_cut", callers.connectionsClosing())
                        .with("took_ms", clock.monotonicMilliseconds() - start));
    }

    /** Waits until the callers' side has been idle for the quiet period, or until the end. */
    private void awaitQuietPeriod(long end) {
        long now = clock.monotonicMilliseconds();
        long lastBusy = now;
        while (now < end && now - lastBusy < QUIET_PERIOD_MILLISECONDS) {
            sleep(POLL_INTERVAL_MILLISECONDS);
            now = clock.monotonicMilliseconds();
            lastBusy = isBusy() ? now : lastBusy;
        }
    }

    private boolean isBusy() {
        return callers.requestsInProgress() > 0 || callers.connectionsClosing() > 0;
    }

    private void sleep(long milliseconds) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        scheduler.schedule(milliseconds, () -> elapsed.complete(null));
        elapsed.join();
    }
}
