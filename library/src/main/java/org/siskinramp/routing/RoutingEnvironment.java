package org.siskinramp.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.FailureConvertingLink;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.slot.SlotAuthority;
import org.siskinramp.slot.SlotReleaseListener;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Holds the interfaces through which the routing uses the rest of the entry host.
 *
 * @param host this entry host's name
 * @param availabilityZone this entry host's availability zone
 * @param clock the clock
 * @param scheduler runs tasks after a delay
 * @param backendServerLink sends attempts and probes to backend servers
 * @param peerSender sends messages to other entry hosts
 * @param eventLog writes log lines
 * @param counters increments the counters
 * @param random the source of randomness, thread-safe unless it is used by one service only
 * @param slotAuthority tells which slots this host may use
 * @param slotReleaseListener is notified when a slot that this host no longer holds has become idle
 * @param crashSuspectTracker tracks the requests that were in progress on servers that crashed
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
        SlotAuthority slotAuthority,
        SlotReleaseListener slotReleaseListener,
        CrashSuspectTracker crashSuspectTracker) {

    /** Converts exceptions that the link throws into failed futures. */
    public RoutingEnvironment {
        backendServerLink = new FailureConvertingLink(backendServerLink);
    }
}
