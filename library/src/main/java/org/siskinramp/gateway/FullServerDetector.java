package org.siskinramp.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;

/**
 * Recognises connections that backend servers reset because they were full, in bursts in which
 * several hosts fill the same servers. A reset counts as one of a full server if the server answers
 * a probe afterwards, completed a request shortly before, reset the connection promptly, and had at
 * least {@link ResetLimit#lowestLimit} requests in progress. Guarded by the lock of the gateway.
 */
final class FullServerDetector {

    /**
     * A full server resets a connection as soon as it accepts it or reads the request. A server
     * that runs requests and loses their answers mostly takes longer.
     */
    private static final long PROMPT_RESET_MILLISECONDS = 50;

    private final GatewayEnvironment environment;
    private final Map<String, ResetLimit> limitByService = new HashMap<>();

    FullServerDetector(GatewayEnvironment environment) {
        this.environment = environment;
    }

    /** Returns the limit of a service. */
    ResetLimit limit(String service) {
        return limitByService.computeIfAbsent(service, name -> new ResetLimit());
    }

    /**
     * Tells whether a connection that just broke was probably reset because the server was full.
     * Before the first such reset of the service was confirmed, only a server with more requests
     * than slots is taken for full.
     */
    boolean isLikelyFull(AttemptDispatcher.InFlightAttempt attempt) {
        int slots = attempt.server().server().slots();
        int requestsInProgress = attempt.estimatedRequestsInProgress();
        return requestsInProgress > slots
                || (limit(attempt.server().server().service()).hasRecentReset(now())
                        && requestsInProgress >= ResetLimit.lowestLimit(slots));
    }

    /** Judges the resets of a server that has answered a probe since. */
    void judgeResets(KnownServer server, List<SuspectedCrash> resets, LoadReport report) {
        long now = now();
        int slots = server.server().slots();
        int reported =
                Math.max(0, report.requestsInProgress()) + Math.max(0, report.requestsWaiting());
        for (SuspectedCrash reset : resets) {
            int load = Math.max(reset.requestsInProgress(), reported + 1);
            boolean full =
                    reset.isReset()
                            && reset.brokenAt() - reset.sentAt() <= PROMPT_RESET_MILLISECONDS
                            && load >= ResetLimit.lowestLimit(slots)
                            && server.excuseFailure(now);
            if (full) {
                handleFullServer(server, reset, load, now);
            }
        }
    }

    private void handleFullServer(KnownServer server, SuspectedCrash reset, int load, long now) {
        String service = server.server().service();
        int slots = server.server().slots();
        environment.counters().add(Counter.FULL_SERVER_RESETS);
        environment
                .eventLog()
                .record(
                        LogEvent.named("server_full")
                                .with("request", reset.requestId())
                                .with("service", service)
                                .with("backend_server", server.server().name())
                                .with("occupied", load)
                                .with("slots", slots)
                                .with("after_ms", now - reset.brokenAt()));
        ResetLimit limit = limit(service);
        if (limit.recordReset(load, slots, reset.sentAt(), now)) {
            logLimit(service, limit, "reset");
        }
    }

    /** Raises the limits of services whose servers have not reset connections for a time. */
    void raiseLimits() {
        long now = now();
        limitByService.forEach(
                (service, limit) -> {
                    if (limit.raiseIfDue(now)) {
                        logLimit(service, limit, "no_resets");
                    }
                });
    }

    private void logLimit(String service, ResetLimit limit, String reason) {
        environment
                .eventLog()
                .record(
                        LogEvent.named("reset_limit")
                                .with("service", service)
                                .with("limit", limit.isActive() ? limit.learned() : "none")
                                .with("reason", reason));
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }
}
