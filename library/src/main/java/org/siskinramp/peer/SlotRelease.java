package org.siskinramp.peer;

import java.util.List;

/**
 * Tells the receiver that slots which it gains are free: the sender held them, has nothing in
 * progress there and will start nothing there.
 *
 * @param viewVersion the sender's membership version
 * @param configurationVersion the sender's configuration version
 * @param stopping whether the sender is stopping and gives up all its slots for good
 * @param slots the free slots
 * @param incarnation the sender's incarnation, or an empty string
 * @param heard for each free slot the last heartbeat of the receiver that the sender had heard when
 *     it still held the slot; in the order of the slots, or empty if none was heard
 */
public record SlotRelease(
        long viewVersion,
        long configurationVersion,
        boolean stopping,
        List<ReleasedSlot> slots,
        String incarnation,
        List<Acknowledgement> heard)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param viewVersion the membership version
     * @param configurationVersion the configuration version
     * @param stopping whether the sender is stopping
     * @param slots the free slots
     * @param incarnation the sender's incarnation
     * @param heard the receiver's heartbeats that were heard while the slots were held
     */
    public SlotRelease {
        slots = List.copyOf(slots);
        heard = List.copyOf(heard);
    }

    /**
     * Describes a release without proof of when the slots were held.
     *
     * @param viewVersion the membership version
     * @param configurationVersion the configuration version
     * @param stopping whether the sender is stopping
     * @param slots the free slots
     */
    public SlotRelease(
            long viewVersion,
            long configurationVersion,
            boolean stopping,
            List<ReleasedSlot> slots) {
        this(viewVersion, configurationVersion, stopping, slots, "", List.of());
    }

    /**
     * Names a free slot.
     *
     * @param backendServer the backend server
     * @param index the index of the slot
     */
    public record ReleasedSlot(String backendServer, int index) {}
}
