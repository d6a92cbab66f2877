package org.siskinramp.membership;

/**
 * Tracks an authority or a suspicion: whether it is valid, since when without interruption, and
 * until when.
 */
final class ValidityPeriod {

    /** Stands for "never"; far enough from the limit that sums and differences do not overflow. */
    private static final long DISTANT_PAST_MILLISECONDS = Long.MIN_VALUE / 4;

    private boolean active;
    private long since = DISTANT_PAST_MILLISECONDS;
    private long until = DISTANT_PAST_MILLISECONDS;

    /** Ends the period if its time has passed. Must be called before a change is applied. */
    void expire(long now) {
        if (now >= until) {
            active = false;
        }
    }

    /**
     * Sets a new end, earlier or later. A period that has ended starts anew if the end is in the
     * future.
     */
    void extend(long newUntil, long now) {
        if (newUntil > now && !active) {
            since = now;
        }
        active = newUntil > now;
        until = newUntil;
    }

    boolean isActive() {
        return active;
    }

    long since() {
        return since;
    }

    long until() {
        return until;
    }
}
