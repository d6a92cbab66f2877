package org.siskinramp.peer;

import java.util.List;

/**
 * Releases slots of the sender to the receiver, which takes them over. The sender has no request in
 * progress in them and will start no more.
 *
 * @param viewVersion the sender's membership version
 * @param configurationVersion the sender's configuration version
 * @param stopping whether the sender is shutting down and releases all its slots
 * @param slots the released slots
 * @param incarnation the sender's incarnation, or an empty string
 * @param lastHeartbeats for each released slot, in the same order, the last heartbeat of the
 *     receiver that the sender had received while it held the slot; empty if it had received none
 */
public record SlotRelease(
        long viewVersion,
        long configurationVersion,
        boolean stopping,
        List<ReleasedSlot> slots,
        String incarnation,
        List<Acknowledgement> lastHeartbeats)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param viewVersion the membership version
     * @param configurationVersion the configuration version
     * @param stopping whether the sender is shutting down
     * @param slots the released slots
     * @param incarnation the sender's incarnation
     * @param lastHeartbeats the receiver's heartbeats that the sender received while it held the
     *     slots
     */
    public SlotRelease {
        slots = List.copyOf(slots);
        lastHeartbeats = List.copyOf(lastHeartbeats);
    }

    /**
     * Creates a release that does not show until when the sender held the slots.
     *
     * @param viewVersion the membership version
     * @param configurationVersion the configuration version
     * @param stopping whether the sender is shutting down
     * @param slots the released slots
     */
    public SlotRelease(
            long viewVersion,
            long configurationVersion,
            boolean stopping,
            List<ReleasedSlot> slots) {
        this(viewVersion, configurationVersion, stopping, slots, "", List.of());
    }

    /**
     * Identifies a released slot.
     *
     * @param backendServer the backend server
     * @param index the index of the slot
     */
    public record ReleasedSlot(String backendServer, int index) {}
}
