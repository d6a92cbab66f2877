package org.siskinramp.host;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.time.VirtualTime;

/** Carries messages between virtual hosts, and loses, repeats, delays and reorders them. */
final class VirtualNetwork {

    private static final int DELAY_MILLISECONDS = 3;
    private static final int LONG_DELAY_MILLISECONDS = 800;

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Map<String, VirtualHost> hosts = new LinkedHashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private double lossShare;

    VirtualNetwork(VirtualTime time, UniformRandomProvider random) {
        this.time = time;
        this.random = random;
    }

    void add(VirtualHost host) {
        hosts.put(host.name(), host);
    }

    /** Sets the share of messages that are lost, repeated and much delayed, each. */
    void setLossShare(double share) {
        lossShare = share;
    }

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void heal(String from, String to) {
        cuts.remove(from + ">" + to);
    }

    void isolate(String host, boolean value) {
        for (String other : hosts.keySet()) {
            if (value) {
                cut(host, other);
                cut(other, host);
            } else {
                heal(host, other);
                heal(other, host);
            }
        }
    }

    void healAll() {
        cuts.clear();
        lossShare = 0;
    }

    void send(String from, String to, PeerMessage message) {
        if (cuts.contains(from + ">" + to) || random.nextDouble() < lossShare) {
            return;
        }
        deliver(from, to, message);
        if (random.nextDouble() < lossShare) {
            deliver(from, to, message);
        }
    }

    private void deliver(String from, String to, PeerMessage message) {
        int bound = random.nextDouble() < lossShare ? LONG_DELAY_MILLISECONDS : DELAY_MILLISECONDS;
        time.schedule(1 + random.nextInt(bound), () -> arrive(from, to, message));
    }

    private void arrive(String from, String to, PeerMessage message) {
        VirtualHost host = hosts.get(to);
        if (host != null && !cuts.contains(from + ">" + to)) {
            host.receive(from, message);
        }
    }
}
