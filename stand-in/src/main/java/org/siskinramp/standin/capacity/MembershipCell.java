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

/** Connects the memberships of one cell directly. */
final class MembershipCell {

    private static final long DELAY_MILLISECONDS = 1;
    private static final long SETTLE_MILLISECONDS = 20_000;
    private static final long SECOND_MILLISECONDS = 1_000;

    private final SteppedTime time = new SteppedTime();
    private final Map<String, Membership> hosts = new HashMap<>();

    MembershipCell(int members, Configuration configuration) {
        List<Member> all = new ArrayList<>();
        for (int member = 0; member < members; member++) {
            String name = Sample.host(member);
            all.add(new Member(name, Sample.availabilityZone(member), "10.0.0.1:7000"));
            hosts.put(name, membership(name));
        }
        MembershipView view = MembershipView.NONE.next(all);
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
            time.schedule(DELAY_MILLISECONDS, () -> hosts.get(to).receive(from, heartbeat));
        }
    }

    void settle() {
        time.advance(SETTLE_MILLISECONDS);
    }

    void runSeconds(int seconds) {
        time.advance(seconds * SECOND_MILLISECONDS);
    }

    void tickFirst(int times) {
        Membership first = hosts.get(Sample.host(0));
        for (int count = 0; count < times; count++) {
            first.tick();
        }
    }

    int heldByFirst() {
        return hosts.get(Sample.host(0)).holdings().slots().size();
    }
}
