package org.siskinramp.slot;

/** Is told when a slot that this host no longer holds has become idle. */
@FunctionalInterface
public interface SlotReleases {

    /**
     * Reports that this host has nothing in progress in a slot and has not lent it.
     *
     * @param slot the slot
     */
    void released(SlotKey slot);
}
