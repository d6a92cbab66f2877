package org.siskinramp.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;

/** Collects what a stopping host tells all its peers again and again until it ends. */
final class SignOff {

    private final Map<SlotKey, Hold> idle = new TreeMap<>();
    private boolean begun;

    void begin() {
        begun = true;
    }

    boolean hasBegun() {
        return begun;
    }

    void add(SlotKey slot, Hold hold) {
        idle.put(slot, hold);
    }

    SlotRelease release(String peer, String incarnation, SlotHoldings versions) {
        List<SlotRelease.ReleasedSlot> slots = new ArrayList<>();
        List<Acknowledgement> heard = new ArrayList<>();
        idle.forEach(
                (slot, hold) -> {
                    if (hold.heard().containsKey(peer)) {
                        slots.add(released(slot));
                        heard.add(hold.heard().get(peer));
                    }
                });
        return new SlotRelease(
                versions.viewVersion(),
                versions.configurationVersion(),
                true,
                slots,
                incarnation,
                heard);
    }

    static SlotRelease.ReleasedSlot released(SlotKey slot) {
        return new SlotRelease.ReleasedSlot(slot.backendServer(), slot.index());
    }
}
