package org.siskinramp.gateway;

import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.AnnouncedRateLimit.AnswerKind;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.result.Futures;
import org.siskinramp.routing.DeferredActions;

/**
 * Sends probes to backend servers and applies what their answers announce. Guarded by the lock of
 * the gateway.
 */
final class ProbeSender {

    private final GatewayEnvironment environment;
    private final LockedExecutor lockedExecutor;
    private final AnnouncementHandler announcements;

    ProbeSender(
            GatewayEnvironment environment,
            LockedExecutor lockedExecutor,
            AnnouncementHandler announcements) {
        this.environment = environment;
        this.lockedExecutor = lockedExecutor;
        this.announcements = announcements;
    }

    /** Is notified when a probe has ended. */
    interface Listener {

        /** Handles the load report of an answered probe. */
        void answered(LoadReport report, DeferredActions deferred);

        /** Handles a probe that was not answered. */
        void failed(AttemptException failure, DeferredActions deferred);
    }

    void send(KnownServer server, Listener listener, DeferredActions deferred) {
        long sentAt = environment.clock().monotonicMilliseconds();
        environment.counters().add(Counter.PROBES);
        server.beginProbe();
        deferred.add(
                () ->
                        Futures.whenDone(
                                environment.backendServerLink().probe(server.server()),
                                (report, failure) ->
                                        lockedExecutor.run(
                                                innerDeferred ->
                                                        handleProbeEnd(
                                                                server,
                                                                listener,
                                                                sentAt,
                                                                report,
                                                                failure,
                                                                innerDeferred))));
    }

    private void handleProbeEnd(
            KnownServer server,
            Listener listener,
            long sentAt,
            LoadReport report,
            Throwable failure,
            DeferredActions deferred) {
        server.endProbe();
        if (failure == null) {
            announcements.handleAnswer(server, report, AnswerKind.PROBE, sentAt);
            listener.answered(report, deferred);
        } else {
            AttemptException cause = AttemptException.from(failure);
            announcements.handleFailure(server, cause.loadReport(), AnswerKind.PROBE);
            listener.failed(cause, deferred);
        }
    }
}
