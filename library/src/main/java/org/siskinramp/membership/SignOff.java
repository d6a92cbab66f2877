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

    private final Map<SlotKey, Idle> idle = new TreeMap<>();
    private boolean begun;

    void begin() {
        begun = true;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Adds an idle slot, for one receiver only: two could start work there at the same time. */
    void add(SlotKey slot, String receiver, Acknowledgement heard) {
        idle.putIfAbsent(slot, new Idle(receiver, heard));
    }

    SlotRelease release(String peer, String incarnation, SlotHoldings versions) {
        List<SlotRelease.ReleasedSlot> slots = new ArrayList<>();
        List<Acknowledgement> heard = new ArrayList<>();
        idle.forEach(
                (slot, offer) -> {
                    if (offer.receiver().equals(peer)) {
                        slots.add(released(slot));
                        heard.add(offer.heard());
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

    private record Idle(String receiver, Acknowledgement heard) {}
}
