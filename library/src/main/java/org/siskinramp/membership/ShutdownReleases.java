package org.siskinramp.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;

/**
 * Collects the slots that a stopping host releases. The host sends them to its peers again with
 * each heartbeat until its process ends.
 */
final class ShutdownReleases {

    private final Map<SlotKey, ReleaseTarget> releases = new TreeMap<>();
    private boolean begun;

    void begin() {
        begun = true;
    }

    boolean hasBegun() {
        return begun;
    }

    /**
     * Adds an idle slot for a single receiver. A second receiver for the same slot is ignored,
     * because two receivers could start requests in it at the same time.
     */
    void add(SlotKey slot, String receiver, Acknowledgement lastHeartbeat) {
        releases.putIfAbsent(slot, new ReleaseTarget(receiver, lastHeartbeat));
    }

    SlotRelease messageFor(String peer, String incarnation, SlotHoldings versions) {
        List<SlotRelease.ReleasedSlot> slots = new ArrayList<>();
        List<Acknowledgement> lastHeartbeats = new ArrayList<>();
        releases.forEach(
                (slot, target) -> {
                    if (target.receiver().equals(peer)) {
                        slots.add(toReleasedSlot(slot));
                        lastHeartbeats.add(target.lastHeartbeat());
                    }
                });
        return new SlotRelease(
                versions.viewVersion(),
                versions.configurationVersion(),
                true,
                slots,
                incarnation,
                lastHeartbeats);
    }

    static SlotRelease.ReleasedSlot toReleasedSlot(SlotKey slot) {
        return new SlotRelease.ReleasedSlot(slot.backendServer(), slot.index());
    }

    private record ReleaseTarget(String receiver, Acknowledgement lastHeartbeat) {}
}
