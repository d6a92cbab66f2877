package org.siskinramp.gateway;

import java.util.Optional;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.AnnouncedRateLimit.AnswerKind;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;

/**
 * Applies what backend servers announce in their answers: an imminent shutdown, a pause during
 * which they want no requests, or a rate limit. A server knows of its shutdown or overload before
 * the store shows it. Guarded by the lock of the gateway.
 */
final class AnnouncementHandler {

    /** Maximum jitter after a pause, as a share of it, so that hosts do not all return at once. */
    private static final double JITTER_SHARE = 0.25;

    /** More jitter would only leave a server idle that could already serve requests. */
    private static final long MAXIMUM_JITTER_MILLISECONDS = 1_000;

    private final GatewayEnvironment environment;
    private final Fleet fleet;
    private final HostShare hostShare;

    AnnouncementHandler(GatewayEnvironment environment, Fleet fleet, HostShare hostShare) {
        this.environment = environment;
        this.fleet = fleet;
        this.hostShare = hostShare;
    }

    /**
     * Applies the announcements of an answer to a request that ran, or to a probe. If another
     * server now has the address, they apply to the server that answered.
     */
    void handleAnswer(
            KnownServer contacted, LoadReport report, AnswerKind kind, long requestSentAt) {
        answeringServer(contacted, report)
                .ifPresent(
                        server -> {
                            apply(server, report, kind);
                            endRateLimitIfWithdrawn(server, report, kind, requestSentAt);
                        });
    }

    /**
     * Applies the announcements of an attempt or a probe that failed. A failure without a rate
     * limit does not end one: only the answer of a server that ran the request is certain to hold
     * all of its announcements.
     */
    void handleFailure(KnownServer contacted, LoadReport report, AnswerKind kind) {
        answeringServer(contacted, report).ifPresent(server -> apply(server, report, kind));
    }

    private Optional<KnownServer> answeringServer(KnownServer contacted, LoadReport report) {
        String name = report.bootIdentity();
        return name.isEmpty() || name.equals(contacted.server().name())
                ? Optional.of(contacted)
                : fleet.find(name);
    }

    private void apply(KnownServer server, LoadReport report, AnswerKind kind) {
        if (report.announcesRateLimit()) {
            limitRate(server, report.rateLimitPerSecond(), kind);
        }
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

    private void limitRate(KnownServer server, double limitPerSecond, AnswerKind kind) {
        boolean wasActive = server.rateLimit().isActive();
        boolean changed =
                server.rateLimit()
                        .announce(
                                limitPerSecond,
                                kind,
                                environment.random().nextDouble(),
                                environment.clock().monotonicMilliseconds());
        if (!wasActive) {
            environment.counters().add(Counter.SERVERS_RATE_LIMITED);
        }
        if (changed) {
            environment
                    .eventLog()
                    .record(
                            event("server_rate_limited", server)
                                    .with("limit_per_second", limitPerSecond)
                                    .with("hosts", hostShare.hostCount()));
        }
    }

    private void endRateLimitIfWithdrawn(
            KnownServer server, LoadReport report, AnswerKind kind, long requestSentAt) {
        if (report.announcesNoRateLimit()
                && server.rateLimit().endIfWithdrawn(kind, requestSentAt)) {
            environment.eventLog().record(event("server_rate_limit_ended", server));
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
