package org.siskinramp.membership;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.ToLongFunction;

/** Computes until when a majority of members agrees. */
final class Majority {

    private static final long NEVER = Long.MIN_VALUE / 4;

    private Majority() {}

    /**
     * Finds the last time at which more than half of the members still agree.
     *
     * @param members the members' names
     * @param agreesUntil until when a member agrees
     * @return the time, or a time long past if there are no members
     */
    static long until(Collection<String> members, ToLongFunction<String> agreesUntil) {
        if (members.isEmpty()) {
            return NEVER;
        }
        long[] times = new long[members.size()];
        int position = 0;
        for (String member : members) {
            times[position++] = agreesUntil.applyAsLong(member);
        }
        Arrays.sort(times);
        int needed = times.length / 2 + 1;
        return times[times.length - needed];
    }
}
