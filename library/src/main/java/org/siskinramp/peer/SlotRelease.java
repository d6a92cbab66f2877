package org.siskinramp.peer;

import java.util.List;

/**
 * Tells the receiver that slots which it gains are free: the sender has nothing in progress there
 * and will start nothing there.
 *
 * @param viewVersion the sender's membership version
 * @param configurationVersion the sender's configuration version
 * @param stopping whether the sender is stopping and gives up all its slots for good
 * @param slots the free slots
 */
public record SlotRelease(
        long viewVersion, long configurationVersion, boolean stopping, List<ReleasedSlot> slots)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param viewVersion the membership version
     * @param configurationVersion the configuration version
     * @param stopping whether the sender is stopping
     * @param slots the free slots
     */
    public SlotRelease {
        slots = List.copyOf(slots);
    }

    /**
     * Names a free slot.
     *
     * @param backendServer the backend server
     * @param index the index of the slot
     */
    public record ReleasedSlot(String backendServer, int index) {}
}
