package org.siskinramp.slot;

/** Decides which slots this host may use at the moment of the call. */
public interface SlotAuthority {

    /**
     * Tells whether this host may start a request in one of its own slots.
     *
     * @param slot the slot
     * @return true if this host holds the slot and its authority has not expired
     */
    boolean isUsable(SlotKey slot);

    /**
     * Returns when the authority of this host over its slots expires, unless it is renewed.
     *
     * @return monotonic milliseconds; a time in the past if this host has no authority
     */
    long authorityUntilMilliseconds();
}
