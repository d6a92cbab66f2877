package org.siskinramp.gateway;

import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;

/**
 * Applies the retry budget of one service: decides whether a request that has reached a server may
 * be retried, and counts the retries that are sent. Guarded by the lock of the gateway.
 */
final class RetryController {

    private final String service;
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final HostShare hostShare;
    private final RetryBudget retryBudget;

    RetryController(
            String service,
            GatewayEnvironment environment,
            GatewayOptions options,
            HostShare hostShare) {
        this.service = service;
        this.environment = environment;
        this.options = options;
        this.hostShare = hostShare;
        retryBudget = new RetryBudget(options.retryRatio(), options.retryWindowMilliseconds());
    }

    /** Counts a request that arrived. */
    void countRequest(long now) {
        retryBudget.countRequest(now);
    }

    /** Reserves a retry for a request; returns false if the budget does not allow it. */
    boolean reserve(RequestContext context, long now) {
        double slack = hostShare.shareOf(options.retrySlack(), now);
        boolean allowed = retryBudget.allows(now, slack);
        logDecision(context, allowed, slack, now);
        environment.counters().add(allowed ? Counter.RETRIES : Counter.RETRIES_DENIED);
        if (allowed) {
            retryBudget.reserve();
            context.setRetryReserved(true);
        }
        return allowed;
    }

    /** Counts the retry reserved for a request, if any, as sent. */
    void countSent(RequestContext context, long now) {
        if (context.hasReservedRetry()) {
            context.setRetryReserved(false);
            retryBudget.countRetry(now);
        }
    }

    /** Releases the retry reserved for a request, if any. */
    void release(RequestContext context) {
        if (context.hasReservedRetry()) {
            context.setRetryReserved(false);
            retryBudget.release();
        }
    }

    private void logDecision(RequestContext context, boolean allowed, double slack, long now) {
        environment
                .eventLog()
                .record(
                        LogEvent.named("repeat")
                                .with("request", context.request().key().requestId())
                                .with("service", service)
                                .with("content", context.request().contentHash())
                                .with("arrivals", context.deliveredAttempts())
                                .with("allowed", allowed)
                                .with("repeats", retryBudget.retries(now))
                                .with("requests", retryBudget.requests(now))
                                .with("slack", slack));
    }
}
