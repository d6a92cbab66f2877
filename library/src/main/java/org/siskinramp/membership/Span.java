package org.siskinramp.membership;

/** Follows whether something has held without interruption, since when and until when. */
final class Span {

    private static final long NEVER = Long.MIN_VALUE / 4;

    private boolean active;
    private long since = NEVER;
    private long until = NEVER;

    /** Ends the span if its time has passed. Run before anything new is taken into account. */
    void expire(long now) {
        if (now >= until) {
            active = false;
        }
    }

    /** Sets the end anew, earlier or later; a span that has ended starts again. */
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
