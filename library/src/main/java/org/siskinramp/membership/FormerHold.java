package org.siskinramp.membership;

import java.util.Map;
import org.siskinramp.peer.Acknowledgement;

/**
 * Records that this host held a slot in the past.
 *
 * @param heldUntil when the right to use the slot ended, in monotonic milliseconds
 * @param lastHeartbeats the latest heartbeat received from each peer at that time
 * @param resumable whether the host lost the slot only by losing authority, and may resume its use
 *     when it regains authority
 * @param released whether this host has released the slot to another one
 */
record FormerHold(
        long heldUntil,
        Map<String, Acknowledgement> lastHeartbeats,
        boolean resumable,
        boolean released) {

    FormerHold asReleased() {
        return new FormerHold(heldUntil, lastHeartbeats, false, true);
    }

    FormerHold asEnded() {
        return new FormerHold(heldUntil, lastHeartbeats, false, released);
    }

    boolean isWithin(long milliseconds, long now) {
        return !released && now - heldUntil < milliseconds;
    }
}
