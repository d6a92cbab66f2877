package org.siskinramp.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Holds the view that this host acts on, and whether another host may still use the previous one.
 */
final class ViewState {

    private final String self;
    private final MembershipOptions options;
    private final Map<String, Long> absentSince = new HashMap<>();
    private MembershipView view = MembershipView.NONE;
    private Set<String> names = Set.of();
    private Set<String> quorumHosts = Set.of();
    private Set<String> peers = Set.of();
    private long appliedAt;
    private long hostListAppliedAt;
    private boolean settled = true;
    private long settledAt;

    ViewState(String self, MembershipOptions options) {
        this.self = self;
        this.options = options;
    }

    /** Replaces the view by a newer one. */
    void apply(MembershipView newer, long now) {
        view = newer;
        names = newer.names();
        appliedAt = now;
        settledAt = now;
        settled = newer.previousMembers().isEmpty() || !options.has(Safeguard.JOINT_MAJORITY);
        updateQuorumHosts();
    }

    private void updateQuorumHosts() {
        Set<String> hosts = new LinkedHashSet<>(names);
        if (!settled) {
            hosts.addAll(view.previousMembers());
        }
        quorumHosts = Collections.unmodifiableSet(hosts);
        Set<String> others = new LinkedHashSet<>(hosts);
        others.remove(self);
        peers = Collections.unmodifiableSet(others);
    }

    /**
     * Records the hosts that the platform lists, and since when each other host has been missing.
     */
    void applyHostList(Set<String> listed, long now) {
        hostListAppliedAt = now;
        absentSince.keySet().removeAll(listed);
        for (String name : quorumHosts()) {
            if (!listed.contains(name)) {
                absentSince.putIfAbsent(name, now);
            }
        }
    }

    /** Settles the view once no host can have authority by a majority of the previous view. */
    void settle(Map<String, PeerState> peers, long now) {
        if (settled) {
            return;
        }
        long departed =
                view.previousMembers().stream()
                        .filter(name -> hasLeftPrevious(name, peers, now))
                        .count();
        if (2 * departed > view.previousMembers().size()) {
            settled = true;
            settledAt = now;
            updateQuorumHosts();
        }
    }

    private boolean hasLeftPrevious(String name, Map<String, PeerState> peers, long now) {
        if (stoppedSince(name).isPresent()) {
            return true;
        }
        long movedAt = appliedAt;
        if (!name.equals(self)) {
            PeerState peer = peers.get(name);
            if (peer == null || peer.viewVersion() < view.version()) {
                return false;
            }
            movedAt = peer.viewChangedAt();
        }
        return now >= movedAt + options.promiseMilliseconds();
    }

    /**
     * Returns since when a host counts as stopped, because the platform's list has lacked it for
     * long enough.
     */
    OptionalLong stoppedSince(String name) {
        Long since = absentSince.get(name);
        if (since == null) {
            return OptionalLong.empty();
        }
        long stopped = since + options.hostListAbsenceMilliseconds();
        return hostListAppliedAt >= stopped ? OptionalLong.of(stopped) : OptionalLong.empty();
    }

    /** Returns until when a majority of each view that may be in use agrees. */
    long majorityUntil(ToLongFunction<String> agreesUntil) {
        long until = Majority.until(names, agreesUntil);
        return settled
                ? until
                : Math.min(until, Majority.until(view.previousMembers(), agreesUntil));
    }

    /**
     * Returns the hosts whose votes count: the members, and the previous members until the view is
     * settled.
     */
    Set<String> quorumHosts() {
        return quorumHosts;
    }

    Set<String> peers() {
        return peers;
    }

    Collection<Member> peerMembers() {
        List<Member> peerMembers = new ArrayList<>(view.members());
        peerMembers.removeIf(member -> member.name().equals(self));
        return peerMembers;
    }

    boolean containsSelf() {
        return names.contains(self);
    }

    MembershipView view() {
        return view;
    }

    boolean isSettled() {
        return settled;
    }

    long settledAt() {
        return settledAt;
    }
}
