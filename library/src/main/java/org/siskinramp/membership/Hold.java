package org.siskinramp.membership;

import java.util.Map;
import org.siskinramp.peer.Acknowledgement;

/**
 * Remembers that this host held a slot.
 *
 * @param heldUntil when its right ended
 * @param heard the latest heartbeat of each peer at that time
 * @param resumable whether the right ended with the authority only, and returns with it
 * @param released whether the slot was released to another host
 */
record Hold(
        long heldUntil, Map<String, Acknowledgement> heard, boolean resumable, boolean released) {

    Hold asReleased() {
        return new Hold(heldUntil, heard, false, true);
    }

    Hold asEnded() {
        return new Hold(heldUntil, heard, false, released);
    }

    boolean isWithin(long milliseconds, long now) {
        return !released && now - heldUntil < milliseconds;
    }
}
