package org.siskinramp.slot;

/** Tells which slots this host may use at the moment of the call. */
public interface SlotRights {

    /**
     * Tells whether this host may start a request in a slot of its own right now.
     *
     * @param slot the slot
     * @return true if the slot is held and the authority has not ended
     */
    boolean isUsable(SlotKey slot);

    /**
     * Returns when this host's rights end if it hears nothing new.
     *
     * @return monotonic milliseconds, long past without authority
     */
    long authorityUntilMilliseconds();
}
