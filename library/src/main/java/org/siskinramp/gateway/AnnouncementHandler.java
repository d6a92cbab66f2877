package org.siskinramp.gateway;

import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;

/**
 * Applies what backend servers announce in their answers: an imminent shutdown, or a pause during
 * which they want no requests. A server knows of its shutdown or overload before the store shows
 * it. Guarded by the lock of the gateway.
 */
final class AnnouncementHandler {

    /** Maximum jitter after a pause, as a share of it, so that hosts do not all return at once. */
    private static final double JITTER_SHARE = 0.25;

    /** More jitter would only leave a server idle that could already serve requests. */
    private static final long MAXIMUM_JITTER_MILLISECONDS = 1_000;

    private final GatewayEnvironment environment;
    private final Fleet fleet;

    AnnouncementHandler(GatewayEnvironment environment, Fleet fleet) {
        this.environment = environment;
        this.fleet = fleet;
    }

    /**
     * Applies the announcements of an answer. If another server now has the address, they apply to
     * the server that answered.
     */
    void handle(KnownServer contacted, LoadReport report) {
        String name = report.bootIdentity();
        if (name.isEmpty() || name.equals(contacted.server().name())) {
            apply(contacted, report);
        } else {
            fleet.find(name).ifPresent(server -> apply(server, report));
        }
    }

    private void apply(KnownServer server, LoadReport report) {
        if (report.departing() && server.markDeparting()) {
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

    private void pause(KnownServer server, long pauseMilliseconds) {
        long now = environment.clock().monotonicMilliseconds();
        double maximumJitterMilliseconds =
                Math.min(MAXIMUM_JITTER_MILLISECONDS, JITTER_SHARE * pauseMilliseconds);
        long jitterMilliseconds =
                Math.round(maximumJitterMilliseconds * environment.random().nextDouble());
        boolean paused = server.isPaused(now);
        if (server.pauseUntil(now + pauseMilliseconds + jitterMilliseconds) && !paused) {
            environment.counters().add(Counter.SERVERS_PAUSED);
            environment
                    .eventLog()
                    .record(
                            event("server_paused", server)
                                    .with("pause_ms", pauseMilliseconds)
                                    .with("spread_ms", jitterMilliseconds));
        }
    }

    private static LogEvent event(String name, KnownServer server) {
        return LogEvent.named(name)
                .with("backend_server", server.server().name())
                .with("service", server.server().service())
                .with("born", server.entry().startedMilliseconds())
                .with("in_flight", server.inFlight());
    }
}
