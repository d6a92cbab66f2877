package org.siskinramp.gateway;

import java.util.HashMap;
import java.util.Map;
import org.siskinramp.health.LatencyWindow;

/**
 * Tracks how long the requests of each route run on a server of usual speed, and decides from it
 * how long a request may wait. Guarded by the lock of the gateway.
 */
final class ServiceTimes {

    /**
     * Until a latency is known, the service time is assumed to be the objective divided by this.
     */
    private static final int INITIAL_LATENCY_DIVISOR = 3;

    private static final double MEDIAN = 0.5;

    /** Nine of ten requests that start early enough for this quantile meet their objective. */
    private static final double NINETIETH_PERCENTILE = 0.9;

    private static final int USUAL_SERVICE_TIME_PERCENT = 100;

    private final Map<String, LatencyWindow> latenciesByRoute = new HashMap<>();

    /**
     * Records the duration of a request.
     *
     * @param context the request
     * @param tookMilliseconds the time from the send to the answer, in milliseconds
     * @param serviceTimePercent the service time of its server when it was sent, in percent of the
     *     usual one
     */
    void record(RequestContext context, long tookMilliseconds, int serviceTimePercent) {
        latenciesByRoute
                .computeIfAbsent(context.route().name(), route -> new LatencyWindow())
                .add(
                        tookMilliseconds
                                * USUAL_SERVICE_TIME_PERCENT
                                / Math.max(USUAL_SERVICE_TIME_PERCENT, serviceTimePercent));
    }

    /** Returns when a request must start so that half of such requests meet the objective. */
    long latestStart(RequestContext context) {
        return latestStart(context, MEDIAN);
    }

    private long latestStart(RequestContext context, double quantile) {
        return Math.min(
                context.request().deadlineMilliseconds() - 1,
                AdmissionRule.latestStart(
                        context.request().arrivedMilliseconds(),
                        context.route().latencyObjectiveMilliseconds(),
                        milliseconds(context, quantile)));
    }

    /** Tells whether nine of ten such requests that start now meet the objective. */
    boolean meetsObjective(RequestContext context, long now) {
        return now <= latestStart(context, NINETIETH_PERCENTILE);
    }

    long medianMilliseconds(RequestContext context) {
        return milliseconds(context, MEDIAN);
    }

    private long milliseconds(RequestContext context, double quantile) {
        long fallbackMilliseconds =
                context.route().latencyObjectiveMilliseconds() / INITIAL_LATENCY_DIVISOR;
        LatencyWindow window = latenciesByRoute.get(context.route().name());
        return window == null
                ? fallbackMilliseconds
                : window.quantile(quantile, fallbackMilliseconds);
    }
}
