package org.siskinramp.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.slot.SlotMap;

/**
 * Determines the slots that this host owns: those in whose order it is the first host that is not
 * suspected.
 */
final class Ownership {

    private final String self;
    private SlotMap map = SlotMap.EMPTY;
    private Set<String> suspected = Set.of();
    private Set<SlotKey> owned = Set.of();
    private Set<String> predecessors = Set.of();

    Ownership(String self) {
        this.self = self;
    }

    void apply(Configuration configuration, MembershipView view) {
        map =
                map.recompute(
                        configuration,
                        view.members().stream()
                                .map(
                                        member ->
                                                new SlotMap.Candidate(
                                                        member.name(), member.availabilityZone()))
                                .toList());
        recompute();
    }

    void applySuspectedHosts(Set<String> hosts) {
        if (!hosts.equals(suspected)) {
            suspected = Set.copyOf(hosts);
            recompute();
        }
    }

    Set<SlotKey> owned() {
        return owned;
    }

    SlotMap map() {
        return map;
    }

    /** Returns the suspected hosts in whose place this host owns slots. */
    Set<String> predecessors() {
        return predecessors;
    }

    /** Finds the first host in the order of a slot that is not suspected, leaving out this host. */
    Optional<String> otherOwner(SlotKey slot) {
        return map.home(slot)
                .filter(this::isOther)
                .or(() -> map.successors(slot).stream().filter(this::isOther).findFirst());
    }

    private boolean isOther(String host) {
        return !host.equals(self) && !suspected.contains(host);
    }

    private void recompute() {
        Set<SlotKey> nextOwned = new HashSet<>();
        Set<String> nextPredecessors = new HashSet<>();
        for (SlotKey slot : map.slots()) {
            String home = map.home(slot).orElseThrow();
            if (home.equals(self)) {
                nextOwned.add(slot);
            } else if (suspected.contains(home)) {
                List<String> before = before(map.successors(slot));
                if (suspected.containsAll(before)) {
                    nextOwned.add(slot);
                    nextPredecessors.add(home);
                    nextPredecessors.addAll(before);
                }
            }
        }
        owned = Set.copyOf(nextOwned);
        predecessors = Set.copyOf(nextPredecessors);
    }

    private List<String> before(List<String> successors) {
        int position = successors.indexOf(self);
        return position < 0 ? successors : successors.subList(0, position);
    }
}
