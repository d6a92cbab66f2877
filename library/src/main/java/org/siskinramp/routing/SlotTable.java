package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.siskinramp.slot.SlotKey;

/** Holds the slots of one service that this host holds or has borrowed. */
final class SlotTable {

    private final Map<SlotKey, Slot> own = new TreeMap<>();
    private final Map<SlotKey, Slot> borrowed = new TreeMap<>();

    /**
     * Applies the slot assignment of the membership. A slot that this host loses while it is in use
     * stays in the table until it is idle.
     *
     * @param held the slots of this service that are now assigned to this host
     */
    void setHeldSlots(Set<SlotKey> held) {
        for (SlotKey key : held) {
            own.computeIfAbsent(key, Slot::own).setHeld(true);
        }
        own.values().stream()
                .filter(slot -> !held.contains(slot.key()))
                .forEach(slot -> slot.setHeld(false));
    }

    /**
     * Removes the slots that are no longer assigned to this host and have become idle.
     *
     * @param now monotonic milliseconds
     * @return the removed slots
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
     * Adds a slot that another host lent.
     *
     * @param slot the slot
     * @return false if this host has borrowed that slot already
     */
    boolean addBorrowed(Slot slot) {
        return borrowed.putIfAbsent(slot.key(), slot) == null;
    }

    /**
     * Tells whether this host still has the slot of a loan. If the grant arrives again, such a loan
     * must not be returned to the lender.
     *
     * @param lender the lending host
     * @param loanNumber the lender's number of the loan
     * @return true until the loan is returned
     */
    boolean isBorrowed(String lender, long loanNumber) {
        return borrowed.values().stream()
                .anyMatch(slot -> slot.lender().equals(lender) && slot.loanNumber() == loanNumber);
    }

    /**
     * Removes the borrowed slots that are idle.
     *
     * @param now monotonic milliseconds
     * @return the removed slots
     */
    List<Slot> removeIdleBorrowed(long now) {
        List<Slot> idle = borrowed.values().stream().filter(slot -> slot.isIdle(now)).toList();
        idle.forEach(slot -> borrowed.remove(slot.key()));
        return idle;
    }

    int size() {
        return own.size() + borrowed.size();
    }

    int countBusy() {
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
     * Lists the idle slots, borrowed ones first so that they are returned soon. The state of the
     * servers is not considered.
     *
     * @param now monotonic milliseconds
     * @param authorityUntil when this host's authority over its own slots ends, in monotonic
     *     milliseconds
     * @return the slots that this host is entitled to start a request in
     */
    List<Slot> startableSlots(long now, long authorityUntil) {
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
