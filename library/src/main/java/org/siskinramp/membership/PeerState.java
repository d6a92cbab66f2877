package org.siskinramp.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.Heartbeat;

/** Holds what the latest heartbeat of a peer said. */
final class PeerState {

    private static final long NEVER = Long.MIN_VALUE / 4;

    private final Set<String> formerIncarnations = new HashSet<>();
    private final Map<String, Long> suspectsUntil = new HashMap<>();
    private String incarnation = "";
    private long sentMilliseconds = NEVER;
    private long heardAt = NEVER;
    private long viewVersion;
    private long configurationVersion;
    private long movedAt = NEVER;
    private long echoedMilliseconds = NEVER;

    /**
     * Tells whether a heartbeat is newer than all that were heard.
     *
     * <p>A late heartbeat of an earlier incarnation may look like a new incarnation. Therefore a
     * former incarnation is heard again once the present one has been silent for a lease term.
     *
     * @param heartbeat the heartbeat
     * @param leaseTermMilliseconds how long a silent incarnation stays the present one
     * @param now the time
     * @return false for a repeated or overtaken heartbeat
     */
    boolean isNews(Heartbeat heartbeat, long leaseTermMilliseconds, long now) {
        if (heartbeat.incarnation().equals(incarnation)) {
            return heartbeat.sentMilliseconds() > sentMilliseconds;
        }
        return !formerIncarnations.contains(heartbeat.incarnation())
                || now >= heardAt + leaseTermMilliseconds;
    }

    /** Tells whether a later heartbeat of the same incarnation has lower versions. */
    boolean fallsBack(Heartbeat heartbeat) {
        return heartbeat.incarnation().equals(incarnation)
                && heartbeat.sentMilliseconds() > sentMilliseconds
                && (heartbeat.viewVersion() < viewVersion
                        || heartbeat.configurationVersion() < configurationVersion);
    }

    /**
     * Takes over a heartbeat that is news.
     *
     * @param heartbeat the heartbeat
     * @param ownIncarnation the incarnation of this host
     * @param leaseTermMilliseconds how long its promises count, in milliseconds
     * @param now the time
     */
    void hear(Heartbeat heartbeat, String ownIncarnation, long leaseTermMilliseconds, long now) {
        if (!heartbeat.incarnation().equals(incarnation)) {
            formerIncarnations.add(incarnation);
            incarnation = heartbeat.incarnation();
            echoedMilliseconds = NEVER;
        }
        sentMilliseconds = heartbeat.sentMilliseconds();
        heardAt = now;
        if (heartbeat.viewVersion() > viewVersion) {
            movedAt = now;
        }
        viewVersion = heartbeat.viewVersion();
        configurationVersion = heartbeat.configurationVersion();
        suspectsUntil.clear();
        for (Acknowledgement acknowledgement : heartbeat.acknowledgements()) {
            if (acknowledgement.incarnation().equals(ownIncarnation)) {
                echoedMilliseconds =
                        Math.max(echoedMilliseconds, acknowledgement.sentMilliseconds());
                long until = acknowledgement.sentMilliseconds() + leaseTermMilliseconds;
                heartbeat.suspectedHosts().forEach(host -> suspectsUntil.put(host, until));
            }
        }
    }

    /** Returns the peer's latest heartbeat as it is repeated to the peer. */
    Acknowledgement latest() {
        return new Acknowledgement(incarnation, sentMilliseconds);
    }

    boolean isHeard() {
        return heardAt != NEVER;
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

    long heardAt() {
        return heardAt;
    }

    /** Returns since when the peer has acted on its present view, as far as this host knows. */
    long movedAt() {
        return movedAt;
    }

    /** Returns when this host sent the latest heartbeat that the peer acknowledged. */
    long echoedMilliseconds() {
        return echoedMilliseconds;
    }

    /** Adds the hosts that the peer suspected when it was last heard. */
    void addSuspectedTo(Set<String> hosts) {
        if (!suspectsUntil.isEmpty()) {
            hosts.addAll(suspectsUntil.keySet());
        }
    }

    /** Returns until when the peer's suspicion of a host counts, or a time long past. */
    long suspectsUntil(String host) {
        return suspectsUntil.getOrDefault(host, NEVER);
    }
}
