package org.siskinramp.gateway;

import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.RequestMeasures;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Holds what a gateway uses of the outside.
 *
 * @param availabilityZone the availability zone of this host
 * @param clock tells the time
 * @param scheduler runs delayed tasks
 * @param backendServerLink sends attempts and probes
 * @param eventLog receives decisions
 * @param counters counts decisions
 * @param measures receives the times and the ends of requests
 * @param random the source of randomness, used under the lock only
 */
public record GatewayEnvironment(
        String availabilityZone,
        Clock clock,
        Scheduler scheduler,
        BackendServerLink backendServerLink,
        EventLog eventLog,
        Counters counters,
        RequestMeasures measures,
        UniformRandomProvider random) {}
