package org.siskinramp.gateway;

import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;

/**
 * Decides which requests of one service that have reached a server may be sent to another, and
 * counts those that are sent. It is guarded by the lock of the gateway.
 */
final class Repeats {

    private final String service;
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final HostCount hosts;
    private final RetryBudget retryBudget;

    Repeats(
            String service,
            GatewayEnvironment environment,
            GatewayOptions options,
            HostCount hosts) {
        this.service = service;
        this.environment = environment;
        this.options = options;
        this.hosts = hosts;
        retryBudget = new RetryBudget(options.retryShare(), options.retryWindowMilliseconds());
    }

    /** Counts a request that arrived. */
    void countRequest(long now) {
        retryBudget.countRequest(now);
    }

    /** Sets a repeat aside for a request; returns false if the budget does not allow it. */
    boolean reserve(GatewayRun run, long now) {
        double slack = hosts.partOf(options.retrySlack(), now);
        boolean allowed = retryBudget.allows(now, slack);
        log(run, allowed, slack, now);
        environment.counters().add(allowed ? Counter.RETRIES : Counter.RETRIES_DENIED);
        if (allowed) {
            retryBudget.reserve();
            run.reserveRepeat(true);
        }
        return allowed;
    }

    /** Counts the repeat that was set aside for a request, if any, as one that is sent now. */
    void send(GatewayRun run, long now) {
        if (run.hasReservedRepeat()) {
            run.reserveRepeat(false);
            retryBudget.countRepeat(now);
        }
    }

    /** Gives the repeat back that was set aside for a request, if any. */
    void release(GatewayRun run) {
        if (run.hasReservedRepeat()) {
            run.reserveRepeat(false);
            retryBudget.release();
        }
    }

    private void log(GatewayRun run, boolean allowed, double slack, long now) {
        environment
                .eventLog()
                .record(
                        LogEvent.named("repeat")
                                .with("request", run.request().key().requestId())
                                .with("service", service)
                                .with("content", run.request().contentHash())
                                .with("arrivals", run.arrivals())
                                .with("allowed", allowed)
                                .with("repeats", retryBudget.repeats(now))
                                .with("requests", retryBudget.requests(now))
                                .with("slack", slack));
    }
}
