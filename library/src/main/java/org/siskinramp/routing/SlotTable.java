package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.siskinramp.slot.SlotKey;

/** Keeps the slots of one service that this host holds or has borrowed. */
final class SlotTable {

    private final Map<SlotKey, Slot> own = new TreeMap<>();
    private final Map<SlotKey, Slot> borrowed = new TreeMap<>();

    /**
     * Follows the membership's decision. A slot that is lost while in use stays until it is idle.
     *
     * @param held the slots of this service that this host holds now
     */
    void hold(Set<SlotKey> held) {
        for (SlotKey key : held) {
            own.computeIfAbsent(key, Slot::own).setHeld(true);
        }
        own.values().stream()
                .filter(slot -> !held.contains(slot.key()))
                .forEach(slot -> slot.setHeld(false));
    }

    /**
     * Takes out the lost slots that have become idle.
     *
     * @param now monotonic milliseconds
     * @return the slots that were taken out
     */
    List<SlotKey> removeReleased(long now) {
        List<SlotKey> released = new ArrayList<>();
        own.values().stream()
                .filter(slot -> !slot.isHeld() && slot.isIdle(now))
                .forEach(slot -> released.add(slot.key()));
        released.forEach(own::remove);
        return released;
    }

    /**
     * Takes in a slot that another host lent.
     *
     * @param slot the slot
     * @return false if this host has that slot already
     */
    boolean borrow(Slot slot) {
        return borrowed.putIfAbsent(slot.key(), slot) == null;
    }

    /**
     * Tells whether a loan is in use here. A repeated grant of it must not give it back.
     *
     * @param lender the lending host
     * @param loanNumber the lender's number of the loan
     * @return true until the loan is given back
     */
    boolean isBorrowed(String lender, long loanNumber) {
        return borrowed.values().stream()
                .anyMatch(slot -> slot.lender().equals(lender) && slot.loanNumber() == loanNumber);
    }

    /**
     * Takes out the borrowed slots that are idle.
     *
     * @param now monotonic milliseconds
     * @return the slots that were taken out
     */
    List<Slot> removeIdleBorrowed(long now) {
        List<Slot> idle = borrowed.values().stream().filter(slot -> slot.isIdle(now)).toList();
        idle.forEach(slot -> borrowed.remove(slot.key()));
        return idle;
    }

    int size() {
        return own.size() + borrowed.size();
    }

    int busy() {
        return (int)
                Stream.concat(own.values().stream(), borrowed.values().stream())
                        .filter(slot -> slot.use() == Slot.Use.BUSY)
                        .count();
    }

    Collection<Slot> own() {
        return own.values();
    }

    Collection<Slot> borrowed() {
        return borrowed.values();
    }

    /**
     * Lists the idle slots, borrowed ones first so that they are returned soon.
     *
     * @param now monotonic milliseconds
     * @param authorityUntil until when own slots are usable, in monotonic milliseconds
     * @return the slots that this host may start a request in as far as its rights go
     */
    List<Slot> startable(long now, long authorityUntil) {
        List<Slot> slots = new ArrayList<>();
        borrowed.values().stream()
                .filter(slot -> slot.isIdle(now) && now < slot.usableUntil())
                .forEach(slots::add);
        if (now < authorityUntil) {
            own.values().stream()
                    .filter(slot -> slot.isHeld() && slot.isIdle(now))
                    .forEach(slots::add);
        }
        return slots;
    }
}
