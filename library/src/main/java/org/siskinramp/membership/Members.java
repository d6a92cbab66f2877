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

/** Holds the view that this host acts on, and whether the view before it may still be in use. */
final class Members {

    private final String self;
    private final MembershipOptions options;
    private final Map<String, Long> absentSince = new HashMap<>();
    private MembershipView view = MembershipView.NONE;
    private Set<String> names = Set.of();
    private Set<String> all = Set.of();
    private Set<String> peers = Set.of();
    private long appliedAt;
    private long listedAt;
    private boolean settled = true;
    private long settledAt;

    Members(String self, MembershipOptions options) {
        this.self = self;
        this.options = options;
    }

    /** Moves to a newer view. */
    void apply(MembershipView newer, long now) {
        view = newer;
        names = newer.names();
        appliedAt = now;
        settledAt = now;
        settled = newer.previousMembers().isEmpty() || !options.has(Safeguard.JOINT_MAJORITY);
        collect();
    }

    private void collect() {
        Set<String> counted = new LinkedHashSet<>(names);
        if (!settled) {
            counted.addAll(view.previousMembers());
        }
        all = Collections.unmodifiableSet(counted);
        Set<String> others = new LinkedHashSet<>(counted);
        others.remove(self);
        peers = Collections.unmodifiableSet(others);
    }

    /** Notes which hosts the platform lists. */
    void applyList(Set<String> listed, long now) {
        listedAt = now;
        absentSince.keySet().removeAll(listed);
        for (String name : all()) {
            if (!listed.contains(name)) {
                absentSince.putIfAbsent(name, now);
            }
        }
    }

    /** Settles the view once no host can hold authority in the view before it. */
    void settle(Map<String, PeerState> peers, long now) {
        if (settled) {
            return;
        }
        long left =
                view.previousMembers().stream()
                        .filter(name -> hasLeftPrevious(name, peers, now))
                        .count();
        if (2 * left > view.previousMembers().size()) {
            settled = true;
            settledAt = now;
            collect();
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
            movedAt = peer.movedAt();
        }
        return now >= movedAt + options.promiseMilliseconds();
    }

    /** Returns since when a host counts as stopped because the platform does not list it. */
    OptionalLong stoppedSince(String name) {
        Long since = absentSince.get(name);
        if (since == null) {
            return OptionalLong.empty();
        }
        long stopped = since + options.listAbsenceMilliseconds();
        return listedAt >= stopped ? OptionalLong.of(stopped) : OptionalLong.empty();
    }

    /** Finds until when a majority of every view that may be in use agrees. */
    long majorityUntil(ToLongFunction<String> agreesUntil) {
        long until = Majority.until(names, agreesUntil);
        return settled
                ? until
                : Math.min(until, Majority.until(view.previousMembers(), agreesUntil));
    }

    /** Returns all hosts that count: the members, and the former ones until the view is settled. */
    Set<String> all() {
        return all;
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
