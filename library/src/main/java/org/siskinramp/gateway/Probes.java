package org.siskinramp.gateway;

import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.result.Futures;
import org.siskinramp.routing.Effects;

/**
 * Sends probes to backend servers and takes in what their answers announce. It is guarded by the
 * lock of the gateway.
 */
final class Probes {

    private final GatewayEnvironment environment;
    private final Locked locked;
    private final Announcements announcements;

    Probes(GatewayEnvironment environment, Locked locked, Announcements announcements) {
        this.environment = environment;
        this.locked = locked;
        this.announcements = announcements;
    }

    /** Decides what follows the end of a probe. */
    interface Listener {

        /** Takes an answer in. */
        void answered(LoadReport report, Effects effects);

        /** Takes the lack of an answer in. */
        void failed(AttemptException failure, Effects effects);
    }

    void send(KnownServer server, Listener listener, Effects effects) {
        environment.counters().add(Counter.PROBES);
        effects.add(
                () ->
                        Futures.whenDone(
                                environment.backendServerLink().probe(server.server()),
                                (report, failure) ->
                                        locked.run(
                                                held ->
                                                        ended(
                                                                server, listener, report, failure,
                                                                held))));
    }

    private void ended(
            KnownServer server,
            Listener listener,
            LoadReport report,
            Throwable failure,
            Effects effects) {
        if (failure == null) {
            announcements.take(server, report);
            listener.answered(report, effects);
        } else {
            AttemptException cause = AttemptException.from(failure);
            announcements.take(server, cause.loadReport());
            listener.failed(cause, effects);
        }
    }
}
