package org.siskinramp.daemon;

import jakarta.inject.Inject;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.siskinramp.daemon.caller.CallerServer;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.host.EntryHost;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Shuts an entry host down gracefully. It reports not ready while it still accepts requests for the
 * drain time, then refuses new requests, waits for those in progress, hands its slots over to the
 * other entry hosts, and waits until the outcomes of all claims and the journal are durable and
 * callers have received the last answers.
 */
final class EntryHostShutdown {

    private static final long POLL_INTERVAL_MILLISECONDS = 10;

    /** Time for the released slots to be sent to the other entry hosts. */
    private static final long SLOT_HANDOVER_MILLISECONDS = 200;

    /** Time for claims, journal and last answers, even if requests used up the stop timeout. */
    private static final long MINIMUM_SETTLING_MILLISECONDS = 3_000;

    private final Settings.Control control;
    private final EntryHost entryHost;
    private final CallerServer callers;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;

    @Inject
    EntryHostShutdown(
            Settings settings,
            EntryHost entryHost,
            CallerServer callers,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog) {
        this.control = settings.control();
        this.entryHost = entryHost;
        this.callers = callers;
        this.clock = clock;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    /**
     * Shuts down; returns when everything is durable and no connection is being closed, or the time
     * is up.
     *
     * @return true if no request was cut off and the outcomes of all claims and the journal are
     *     durable
     */
    boolean run() {
        entryHost.drain();
        sleep(control.drainMilliseconds());
        entryHost.refuseNewRequests();
        callers.refuseNewRequests();
        long end = clock.monotonicMilliseconds() + control.stopTimeoutMilliseconds();
        awaitUntil(end, () -> requestsInProgress() == 0);
        int requestsCut = requestsInProgress();
        entryHost.stop();
        sleep(SLOT_HANDOVER_MILLISECONDS);
        awaitUntil(
                Math.max(end, clock.monotonicMilliseconds() + MINIMUM_SETTLING_MILLISECONDS),
                () -> isDurable() && callers.connectionsClosing() == 0);
        eventLog.record(
                LogEvent.named("planned_stop")
                        .with("requests_cut", requestsCut)
                        .with("connections_cut", callers.connectionsClosing())
                        .with("claims_unsettled", entryHost.unsettledClaims())
                        .with("journal_closed", entryHost.journalClosed().isDone()));
        return requestsCut == 0 && isDurable();
    }

    private boolean isDurable() {
        return entryHost.unsettledClaims() == 0 && entryHost.journalClosed().isDone();
    }

    private int requestsInProgress() {
        return Math.max(entryHost.requestsInProgress(), callers.requestsInProgress());
    }

    private void awaitUntil(long end, BooleanSupplier condition) {
        while (!condition.getAsBoolean() && clock.monotonicMilliseconds() < end) {
            sleep(POLL_INTERVAL_MILLISECONDS);
        }
    }

    private void sleep(long milliseconds) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        scheduler.schedule(milliseconds, () -> elapsed.complete(null));
        elapsed.join();
    }
}
