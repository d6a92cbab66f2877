package org.siskinramp.gateway;

import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.FailureConvertingLink;
import org.siskinramp.fleet.ServerGate;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.RequestMetricsRecorder;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * The external dependencies of a gateway.
 *
 * @param availabilityZone the availability zone of this host
 * @param clock tells the time
 * @param scheduler runs delayed tasks
 * @param backendServerLink sends attempts and probes
 * @param eventLog logs placement, retry and completion decisions
 * @param counters counts requests, attempts and other events
 * @param metricsRecorder records latencies and results of requests
 * @param random the source of randomness, used only under the gateway's lock
 * @param serverGate decides which servers may get requests apart from their own state
 */
public record GatewayEnvironment(
        String availabilityZone,
        Clock clock,
        Scheduler scheduler,
        BackendServerLink backendServerLink,
        EventLog eventLog,
        Counters counters,
        RequestMetricsRecorder metricsRecorder,
        UniformRandomProvider random,
        ServerGate serverGate) {

    /** Converts exceptions that the link throws into failed futures. */
    public GatewayEnvironment {
        backendServerLink = new FailureConvertingLink(backendServerLink);
    }

    /**
     * Creates an environment in which the state of a server alone decides.
     *
     * @param availabilityZone the availability zone of this host
     * @param clock tells the time
     * @param scheduler runs delayed tasks
     * @param backendServerLink sends attempts and probes
     * @param eventLog logs decisions
     * @param counters counts events
     * @param metricsRecorder records latencies and results of requests
     * @param random the source of randomness
     */
    public GatewayEnvironment(
            String availabilityZone,
            Clock clock,
            Scheduler scheduler,
            BackendServerLink backendServerLink,
            EventLog eventLog,
            Counters counters,
            RequestMetricsRecorder metricsRecorder,
            UniformRandomProvider random) {
        this(
                availabilityZone,
                clock,
                scheduler,
                backendServerLink,
                eventLog,
                counters,
                metricsRecorder,
                random,
                ServerGate.OPEN);
    }
}
