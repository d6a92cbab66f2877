package org.siskinramp.standin.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.membership.Member;
import org.siskinramp.membership.Membership;
import org.siskinramp.membership.MembershipView;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.PeerMessage;

/**
 * Simulates one cell, which is a group of entry hosts with a membership of its own. Heartbeats go
 * directly from host to host.
 */
final class MembershipCell {

    private static final long NETWORK_DELAY_MILLISECONDS = 1;
    private static final long START_UP_MILLISECONDS = 20_000;
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final Map<String, Membership> hosts = new HashMap<>();

    MembershipCell(int members, Configuration configuration) {
        List<Member> allMembers = new ArrayList<>();
        for (int member = 0; member < members; member++) {
            String name = SampleConfigurations.host(member);
            allMembers.add(
                    new Member(
                            name, SampleConfigurations.availabilityZone(member), "10.0.0.1:7000"));
            hosts.put(name, membership(name));
        }
        MembershipView view = MembershipView.NONE.next(allMembers);
        for (Membership host : hosts.values()) {
            host.applyView(view);
            host.applyConfiguration(configuration);
            host.start();
        }
    }

    private Membership membership(String name) {
        return Membership.builder(name, name + "/1")
                .clock(time)
                .scheduler(time)
                .sender((peer, message) -> deliver(name, peer, message))
                .build();
    }

    private void deliver(String from, String to, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            time.schedule(NETWORK_DELAY_MILLISECONDS, () -> hosts.get(to).receive(from, heartbeat));
        }
    }

    void runStartUp() {
        time.advance(START_UP_MILLISECONDS);
    }

    void runSeconds(int seconds) {
        time.advance(seconds * MILLISECONDS_PER_SECOND);
    }

    void tickFirstHost(int times) {
        Membership first = hosts.get(SampleConfigurations.host(0));
        for (int count = 0; count < times; count++) {
            first.tick();
        }
    }

    int slotsHeldByFirstHost() {
        return hosts.get(SampleConfigurations.host(0)).holdings().slots().size();
    }
}
