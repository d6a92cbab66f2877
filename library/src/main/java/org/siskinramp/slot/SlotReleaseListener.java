package org.siskinramp.slot;

/** Listens for slots that this host no longer holds and that have become idle. */
@FunctionalInterface
public interface SlotReleaseListener {

    /**
     * Reports that this host has no request in progress in a slot and has not lent it.
     *
     * @param slot the slot
     */
    void released(SlotKey slot);
}
