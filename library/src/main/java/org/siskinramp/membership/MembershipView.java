package org.siskinramp.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds one version of the set of entry hosts.
 *
 * @param version the version, which rises by one with each change; 0 if no view has been read
 * @param members the entry hosts in name order
 * @param previousMembers the names of the members of the previous version
 */
public record MembershipView(long version, List<Member> members, List<String> previousMembers) {

    /** The empty view of a host that has not read any view yet. */
    public static final MembershipView NONE = new MembershipView(0, List.of(), List.of());

    /**
     * Copies the lists so that the view cannot change.
     *
     * @param version the version
     * @param members the entry hosts
     * @param previousMembers the names of the members of the previous version
     */
    public MembershipView {
        members = List.copyOf(members);
        previousMembers = List.copyOf(previousMembers);
    }

    /**
     * Creates the next version of this view.
     *
     * @param nextMembers the members of the next version
     * @return the view with the next version
     */
    public MembershipView next(List<Member> nextMembers) {
        return new MembershipView(version + 1, nextMembers, List.copyOf(names()));
    }

    /**
     * Returns the names of the members.
     *
     * @return the names in order
     */
    public Set<String> names() {
        Set<String> names = new LinkedHashSet<>();
        members.forEach(member -> names.add(member.name()));
        return names;
    }
}
