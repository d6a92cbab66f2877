package org.siskinramp.host;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.time.VirtualTime;

/** Delivers messages between virtual hosts, and loses, duplicates, delays and reorders them. */
final class VirtualNetwork {

    private static final int MAXIMUM_DELAY_MILLISECONDS = 3;
    private static final int MAXIMUM_LONG_DELAY_MILLISECONDS = 800;

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Map<String, VirtualHost> hosts = new LinkedHashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private double faultShare;

    VirtualNetwork(VirtualTime time, UniformRandomProvider random) {
        this.time = time;
        this.random = random;
    }

    void add(VirtualHost host) {
        hosts.put(host.name(), host);
    }

    /** Sets the probability of each fault of a message: loss, duplication and a long delay. */
    void setFaultShare(double share) {
        faultShare = share;
    }

    void cutLink(String from, String to) {
        cutLinks.add(from + ">" + to);
    }

    void restoreLink(String from, String to) {
        cutLinks.remove(from + ">" + to);
    }

    void setIsolated(String host, boolean value) {
        for (String other : hosts.keySet()) {
            if (value) {
                cutLink(host, other);
                cutLink(other, host);
            } else {
                restoreLink(host, other);
                restoreLink(other, host);
            }
        }
    }

    void restoreAll() {
        cutLinks.clear();
        faultShare = 0;
    }

    void send(String from, String to, PeerMessage message) {
        if (cutLinks.contains(from + ">" + to) || random.nextDouble() < faultShare) {
            return;
        }
        deliver(from, to, message);
        if (random.nextDouble() < faultShare) {
            deliver(from, to, message);
        }
    }

    private void deliver(String from, String to, PeerMessage message) {
        int bound =
                random.nextDouble() < faultShare
                        ? MAXIMUM_LONG_DELAY_MILLISECONDS
                        : MAXIMUM_DELAY_MILLISECONDS;
        time.schedule(1 + random.nextInt(bound), () -> arrive(from, to, message));
    }

    private void arrive(String from, String to, PeerMessage message) {
        VirtualHost host = hosts.get(to);
        if (host != null && !cutLinks.contains(from + ">" + to)) {
            host.receive(from, message);
        }
    }
}
