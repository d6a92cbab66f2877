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
 * Ends the work of an entry host ahead of a planned stop: it reports not ready, then refuses new
 * requests, lets those in progress end, hands its slots over and waits until the ends of all claims
 * and the journal are durable.
 */
final class PlannedStop {

    private static final long POLL_MILLISECONDS = 10;
    private static final long HAND_OVER_MILLISECONDS = 200;
    private static final long LEAST_SETTLING_MILLISECONDS = 3_000;

    private final Settings.Control control;
    private final EntryHost entryHost;
    private final CallerServer callers;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;

    @Inject
    PlannedStop(
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
     * Runs the stop and returns when it has ended or its time is up.
     *
     * @return true if no request was cut and all that must last is durable
     */
    boolean run() {
        entryHost.drain();
        pause(control.drainMilliseconds());
        entryHost.refuseNewRequests();
        callers.refuseNewRequests();
        long end = clock.monotonicMilliseconds() + control.stopTimeoutMilliseconds();
        awaitUntil(end, () -> requestsInProgress() == 0);
        int cut = requestsInProgress();
        entryHost.stop();
        pause(HAND_OVER_MILLISECONDS);
        awaitUntil(
                Math.max(end, clock.monotonicMilliseconds() + LEAST_SETTLING_MILLISECONDS),
                this::isDurable);
        eventLog.record(
                LogEvent.named("planned_stop")
                        .with("requests_cut", cut)
                        .with("claims_unsettled", entryHost.unsettledClaims())
                        .with("journal_closed", entryHost.journalClosed().isDone()));
        return cut == 0 && isDurable();
    }

    private boolean isDurable() {
        return entryHost.unsettledClaims() == 0 && entryHost.journalClosed().isDone();
    }

    private int requestsInProgress() {
        return Math.max(entryHost.requestsInProgress(), callers.requestsInProgress());
    }

    private void awaitUntil(long end, BooleanSupplier condition) {
        while (!condition.getAsBoolean() && clock.monotonicMilliseconds() < end) {
            pause(POLL_MILLISECONDS);
        }
    }

    private void pause(long milliseconds) {
        CompletableFuture<Void> passed = new CompletableFuture<>();
        scheduler.schedule(milliseconds, () -> passed.complete(null));
        passed.join();
    }
}
