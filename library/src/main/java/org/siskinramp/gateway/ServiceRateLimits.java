package org.siskinramp.gateway;

import java.util.List;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;

/**
 * Applies the rate limits that the backend servers of one service announce: tells when this host
 * may send to a server, and when refused callers should return. Guarded by the lock of the gateway.
 */
final class ServiceRateLimits {

    /**
     * How many probes per second all hosts together send to a rate limited server to detect the end
     * of its limit.
     */
    private static final double PROBES_PER_SECOND = 10;

    private static final double MINIMUM_PROBE_INTERVAL_MILLISECONDS = 1_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final String service;
    private final Fleet fleet;
    private final HostShare hostShare;
    private final ReturnSchedule returnSchedule = new ReturnSchedule();

    ServiceRateLimits(String service, Fleet fleet, HostShare hostShare) {
        this.service = service;
        this.fleet = fleet;
        this.hostShare = hostShare;
    }

    /** Tells whether this host may send the server a request now. */
    boolean allows(KnownServer server, long now) {
        return now >= server.rateLimit().nextSendAt(hostShare.hostCount());
    }

    /**
     * Returns how long it takes until this host may have sent a number of requests, if each usable
     * server has a rate limit.
     *
     * @return milliseconds, 0 if a usable server has no rate limit
     */
    long waitMilliseconds(int requests, long now) {
        if (fleet.hasUsableWithoutRateLimit(service, now)) {
            return 0;
        }
        int sendableNow = 0;
        long nextSendAt = Long.MAX_VALUE;
        for (KnownServer server : fleet.usable(service, now)) {
            if (allows(server, now)) {
                sendableNow++;
            } else {
                nextSendAt =
                        Math.min(nextSendAt, server.rateLimit().nextSendAt(hostShare.hostCount()));
            }
        }
        if (requests <= sendableNow || nextSendAt == Long.MAX_VALUE) {
            return 0;
        }
        double others = requests - sendableNow - 1;
        return nextSendAt
                - now
                + Math.round(MILLISECONDS_PER_SECOND * others / requestsPerSecond(now));
    }

    /** Returns the rate at which this host may send requests to all usable servers together. */
    private double requestsPerSecond(long now) {
        double requestsPerSecond = 0;
        for (KnownServer server : fleet.usable(service, now)) {
            requestsPerSecond += server.rateLimit().hostRequestsPerSecond(hostShare.hostCount());
        }
        return requestsPerSecond;
    }

    /**
     * Schedules the return of a refused caller, no sooner than its request could be sent.
     *
     * @param waitMilliseconds how long the request would wait now
     * @return the delay after which the caller should return, in milliseconds
     */
    long scheduleReturn(long waitMilliseconds, long now) {
        return returnSchedule.addReturn(waitMilliseconds, requestsPerSecond(now), now);
    }

    /** Returns the servers of which a probe may detect the end of their rate limit. */
    List<KnownServer> serversToProbe(long now) {
        double intervalMilliseconds =
                Math.max(
                        MINIMUM_PROBE_INTERVAL_MILLISECONDS,
                        MILLISECONDS_PER_SECOND * hostShare.hostCount() / PROBES_PER_SECOND);
        return fleet.usable(service, now).stream()
                .filter(server -> server.rateLimit().mayEndInProbe() && !allows(server, now))
                .filter(server -> !server.isProbeInFlight())
                .filter(server -> server.loadReportAgeMilliseconds(now) >= intervalMilliseconds)
                .toList();
    }
}
