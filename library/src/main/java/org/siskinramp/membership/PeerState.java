package org.siskinramp.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.Heartbeat;

/** Holds the content of the latest heartbeat of a peer. */
final class PeerState {

    /** Stands for "never"; far enough from the limit that sums and differences do not overflow. */
    private static final long DISTANT_PAST_MILLISECONDS = Long.MIN_VALUE / 4;

    private final Set<String> formerIncarnations = new HashSet<>();
    private final Map<String, Long> suspectsUntil = new HashMap<>();
    private String incarnation = "";
    private long lastSentMilliseconds = DISTANT_PAST_MILLISECONDS;
    private long lastHeartbeatAt = DISTANT_PAST_MILLISECONDS;
    private long viewVersion;
    private long configurationVersion;
    private long viewChangedAt = DISTANT_PAST_MILLISECONDS;
    private long acknowledgedMilliseconds = DISTANT_PAST_MILLISECONDS;

    /**
     * Returns whether a heartbeat is newer than all that were received from this peer.
     *
     * <p>A delayed heartbeat of an earlier incarnation may look like that of a new one. So that
     * such a heartbeat does not shut the running incarnation out, heartbeats of a former
     * incarnation are accepted again once the present one has sent none for a lease term.
     *
     * @param heartbeat the heartbeat
     * @param leaseTermMilliseconds how long an incarnation that sends no heartbeats remains the
     *     present one, in milliseconds
     * @param now the time
     * @return false for a duplicate heartbeat and for one that arrived after a later one
     */
    boolean isNewer(Heartbeat heartbeat, long leaseTermMilliseconds, long now) {
        if (heartbeat.incarnation().equals(incarnation)) {
            return heartbeat.sentMilliseconds() > lastSentMilliseconds;
        }
        return !formerIncarnations.contains(heartbeat.incarnation())
                || now >= lastHeartbeatAt + leaseTermMilliseconds;
    }

    /** Returns whether a later heartbeat of the same incarnation has lower versions. */
    boolean hasLowerVersions(Heartbeat heartbeat) {
        return heartbeat.incarnation().equals(incarnation)
                && heartbeat.sentMilliseconds() > lastSentMilliseconds
                && (heartbeat.viewVersion() < viewVersion
                        || heartbeat.configurationVersion() < configurationVersion);
    }

    /**
     * Records a heartbeat that is newer than all before.
     *
     * @param heartbeat the heartbeat
     * @param ownIncarnation the incarnation of this host
     * @param leaseTermMilliseconds how long its suspicions count, in milliseconds
     * @param now the time
     */
    void recordHeartbeat(
            Heartbeat heartbeat, String ownIncarnation, long leaseTermMilliseconds, long now) {
        if (!heartbeat.incarnation().equals(incarnation)) {
            formerIncarnations.add(incarnation);
            incarnation = heartbeat.incarnation();
            acknowledgedMilliseconds = DISTANT_PAST_MILLISECONDS;
        }
        lastSentMilliseconds = heartbeat.sentMilliseconds();
        lastHeartbeatAt = now;
        if (heartbeat.viewVersion() > viewVersion) {
            viewChangedAt = now;
        }
        viewVersion = heartbeat.viewVersion();
        configurationVersion = heartbeat.configurationVersion();
        suspectsUntil.clear();
        for (Acknowledgement acknowledgement : heartbeat.acknowledgements()) {
            if (acknowledgement.incarnation().equals(ownIncarnation)) {
                acknowledgedMilliseconds =
                        Math.max(acknowledgedMilliseconds, acknowledgement.sentMilliseconds());
                long until = acknowledgement.sentMilliseconds() + leaseTermMilliseconds;
                heartbeat.suspectedHosts().forEach(host -> suspectsUntil.put(host, until));
            }
        }
    }

    /** Returns the acknowledgement of the peer's latest heartbeat. */
    Acknowledgement latestHeartbeat() {
        return new Acknowledgement(incarnation, lastSentMilliseconds);
    }

    boolean hasSentHeartbeat() {
        return lastHeartbeatAt != DISTANT_PAST_MILLISECONDS;
    }

    String incarnation() {
        return incarnation;
    }

    long viewVersion() {
        return viewVersion;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /** Returns when this host received the peer's first heartbeat with its present view. */
    long viewChangedAt() {
        return viewChangedAt;
    }

    /** Returns when this host sent the latest heartbeat that the peer acknowledged. */
    long acknowledgedMilliseconds() {
        return acknowledgedMilliseconds;
    }

    /** Adds the hosts that the peer's latest heartbeat suspected. */
    void addSuspectedTo(Set<String> hosts) {
        if (!suspectsUntil.isEmpty()) {
            hosts.addAll(suspectsUntil.keySet());
        }
    }

    /**
     * Returns until when the peer's suspicion of a host counts, or a time in the distant past if
     * there is none.
     */
    long suspectsUntil(String host) {
        return suspectsUntil.getOrDefault(host, DISTANT_PAST_MILLISECONDS);
    }
}
