package org.siskinramp.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.slot.SlotReleases;
import org.siskinramp.slot.SlotRights;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Holds what the routing needs from its surroundings.
 *
 * @param host this entry host's name
 * @param availabilityZone this entry host's availability zone
 * @param clock the clock
 * @param scheduler runs tasks later
 * @param backendServerLink sends attempts
 * @param peerSender sends messages to other entry hosts
 * @param eventLog writes log lines
 * @param counters raises counters
 * @param random the source of randomness, safe for use by several threads or used by one service
 * @param slotRights tells which slots this host may use
 * @param slotReleases is told of lost slots that became idle
 * @param requestSuspicion tells what is known of requests that stopped servers
 */
public record RoutingEnvironment(
        String host,
        String availabilityZone,
        Clock clock,
        Scheduler scheduler,
        BackendServerLink backendServerLink,
        PeerSender peerSender,
        EventLog eventLog,
        Counters counters,
        UniformRandomProvider random,
        SlotRights slotRights,
        SlotReleases slotReleases,
        RequestSuspicion requestSuspicion) {}
