package org.siskinramp.membership;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.ToLongFunction;

/** Computes until when a majority of members agrees. */
final class Majority {

    /** Stands for "never"; far enough from the limit that sums and differences do not overflow. */
    private static final long DISTANT_PAST_MILLISECONDS = Long.MIN_VALUE / 4;

    private Majority() {}

    /**
     * Returns the last time at which more than half of the members still agree.
     *
     * @param members the members' names
     * @param agreesUntil until when a member agrees
     * @return the time, or a time in the distant past if there are no members
     */
    static long until(Collection<String> members, ToLongFunction<String> agreesUntil) {
        if (members.isEmpty()) {
            return DISTANT_PAST_MILLISECONDS;
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
