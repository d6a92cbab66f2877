package org.siskinramp.gateway;

import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;

/**
 * Takes in what backend servers ask for in their answers: no new request, since they end soon, or
 * none for a while. Answers servers that know of their end or of an overload before the store does.
 * It is guarded by the lock of the gateway.
 */
final class Announcements {

    /** Hosts that were asked to pause together return within this part of the pause. */
    private static final double SPREAD_PART = 0.25;

    /** Longer spreads only leave a server idle that would serve again. */
    private static final long LONGEST_SPREAD_MILLISECONDS = 1_000;

    private final GatewayEnvironment environment;
    private final Fleet fleet;

    Announcements(GatewayEnvironment environment, Fleet fleet) {
        this.environment = environment;
        this.fleet = fleet;
    }

    /**
     * Takes in what an answer says. An answer of another server that has the address counts for
     * that one.
     */
    void take(KnownServer asked, LoadReport report) {
        String name = report.bootIdentity();
        if (name.isEmpty() || name.equals(asked.server().name())) {
            apply(asked, report);
        } else {
            fleet.find(name).ifPresent(server -> apply(server, report));
        }
    }

    private void apply(KnownServer server, LoadReport report) {
        if (report.departing() && server.depart()) {
            environment.counters().add(Counter.SERVERS_DEPARTING);
            environment
                    .eventLog()
                    .record(
                            event("server_departing", server)
                                    .with("entry_leaving", server.entry().leaving()));
        }
        if (report.pauseMilliseconds() > 0) {
            pause(server, report.pauseMilliseconds());
        }
    }

    private void pause(KnownServer server, long milliseconds) {
        long now = environment.clock().monotonicMilliseconds();
        double widest = Math.min(LONGEST_SPREAD_MILLISECONDS, SPREAD_PART * milliseconds);
        long spread = Math.round(widest * environment.random().nextDouble());
        boolean paused = server.isPaused(now);
        if (server.pauseUntil(now + milliseconds + spread) && !paused) {
            environment.counters().add(Counter.SERVERS_PAUSED);
            environment
                    .eventLog()
                    .record(
                            event("server_paused", server)
                                    .with("pause_ms", milliseconds)
                                    .with("spread_ms", spread));
        }
    }

    private static LogEvent event(String name, KnownServer server) {
        return LogEvent.named(name)
                .with("backend_server", server.server().name())
                .with("service", server.server().service())
                .with("born", server.entry().bornMilliseconds())
                .with("in_flight", server.inFlight());
    }
}
